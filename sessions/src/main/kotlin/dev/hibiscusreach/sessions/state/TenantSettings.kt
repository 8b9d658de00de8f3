package dev.hibiscusreach.sessions.state

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.milliseconds
import dev.hibiscusreach.core.model.seconds

/** Bounds that apply if the configuration has tenants. */
data class TenantSettings(
    /** Whether callers with a key are refused while nothing has confirmed the configuration for [revocationLimit]. */
    val strictRevocation: Boolean = false,
    /** Age of the latest confirmation from which on a key may have been revoked without this proxy's knowledge. */
    val revocationLimit: Millis = 5.seconds,
    /** Window in which the operations of a tenant are limited. */
    val allowanceWindow: Millis = 5.seconds,
    /** Share by which the operations of a window may exceed the rate and the burst. */
    val allowanceTolerance: Double = 0.1,
    /** Operations of a window that may run in addition. */
    val allowanceSlack: Int = 20,
    /** Time after its request was sent for which a token may be used. */
    val tokenLife: Millis = 500.milliseconds,
    /** Operations that are expected within this time are requested ahead. */
    val tokenForecast: Millis = 250.milliseconds,
    /** An owner that has not answered for this long is joined by the next one; above a round trip between regions. */
    val ownerPatience: Millis = 100.milliseconds,
    /** An owner that failed or did not answer is not asked again for this long while others may grant. */
    val ownerAvoidance: Millis = 1.seconds,
    /** Without an answer of any owner for this long, the guaranteed minimum is used. */
    val ownerTimeout: Millis = 300.milliseconds,
    /** Pause before an owner that grants nothing for the time being is asked again. */
    val notGrantingPause: Millis = 500.milliseconds,
    /** Upper limit of the retry advice of refused operations. */
    val maxTokenWait: Millis = 2.seconds,
    /** Upper limit of the time after which an owner without tokens is asked again; its bucket overflows later. */
    val maxOwnerPause: Millis = 500.milliseconds,
    /** What is known of a tenant without operations is forgotten after this long; above [allowanceWindow]. */
    val idleTimeout: Millis = 15.seconds,
)
