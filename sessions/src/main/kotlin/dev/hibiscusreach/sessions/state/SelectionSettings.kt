package dev.hibiscusreach.sessions.state

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.milliseconds
import dev.hibiscusreach.core.model.seconds

/** How servers are selected. */
data class SelectionSettings(
    /** Whether the selection follows the observed load and failures; all other settings apply only then. */
    val adaptive: Boolean = false,
    /** Time after which a statement or an overload counts half; several statements of a home with 7 in a second. */
    val loadHalfLife: Millis = 2.seconds,
    /** The lowest latency is the lowest of the last one to two windows of this length. */
    val latencyWindow: Millis = 5.seconds,
    /**
     * Servers that cost this much more than the best one share its statements. Above the penalty for another failure
     * domain and the variation of the latency, and below the penalty for another region.
     */
    val similarCost: Millis = 30.milliseconds,
    /** Extra cost of a server for each recent rejection because of overload; about the time that a rejection costs. */
    val overloadPenalty: Millis = 30.milliseconds,
    /** Concurrency limit of a server that is not known yet, unless its slots divided by the homes are more. */
    val initialLimit: Int = 2,
    /** Percentage of the concurrency limit that is left after a rejection because of overload. */
    val overloadDecreasePercent: Int = 50,
    /** Percentage of the concurrency limit that is left after a rise of the latency. */
    val latencyDecreasePercent: Int = 80,
    /** A latency above this percentage of the lowest one, and [latencyRise] above it, lowers the limit. */
    val risenLatencyPercent: Int = 200,
    /** Rise of the latency below which the limit is not lowered; the variation between single statements. */
    val latencyRise: Millis = 10.milliseconds,
    /** Pause between two decreases, so that the statements that were in flight together cause only one. */
    val decreasePause: Millis = 200.milliseconds,
    /** Time after which a failure counts half for [ejectionFailures]. */
    val failureHalfLife: Millis = 3.seconds,
    /** Recent failures without which a server is not ejected; a single failure may be the statement's. */
    val ejectionFailures: Double = 2.0,
    /** Smoothed percentage of statements that fail at a server that is ejected. */
    val ejectionPercent: Int = 30,
    /** Pause before an ejected server is probed; doubles with each ejection up to [maxEjectionPause]. */
    val ejectionPause: Millis = 2.seconds,
    val maxEjectionPause: Millis = 16.seconds,
    /** Time after its return from which on the next ejection of a server counts as its first one. */
    val ejectionMemory: Millis = 30.seconds,
    /** Pause between two probes of an ejected server. */
    val probePause: Millis = 100.milliseconds,
    /** Probes in a row that must succeed; a server that fails half of its reads passes one time in 32. */
    val probes: Int = 5,
    /** Time in which the load of a server that is new or returns grows to its usual share. */
    val slowStart: Millis = 4.seconds,
    /** Percentage of its usual share with which such a server begins. */
    val slowStartPercent: Int = 10,
    /**
     * Retries that are allowed for each hundred recent first attempts. Above the sixth of the statements that need one
     * while a server of three fails half of its reads.
     */
    val retryPercent: Int = 20,
    /** Recent retries that are allowed in any case; about the connections of a home that one crash closes. */
    val minRetries: Int = 5,
)
