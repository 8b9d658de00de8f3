package dev.hibiscusreach.sessions.state

import dev.hibiscusreach.core.model.MonotonicTime

/** The latest ejection of a server. */
data class Ejection(
    /** Ejections that followed each other so closely that the pause was doubled for each, with this one. */
    val count: Int,
    /** No reads are sent that another server can run before this time. */
    val until: MonotonicTime,
    /** Probes in a row that succeeded. */
    val successes: Int = 0,
    /** When the latest probe was sent. */
    val probedAt: MonotonicTime? = null,
    /** When the server returned; null while it is ejected. */
    val returnedAt: MonotonicTime? = null,
)

/** Whether a server gets reads that another server can run. */
sealed interface EjectionStatus {
    /** It gets them as usual. */
    data object Included : EjectionStatus

    /** It gets none. */
    data object Ejected : EjectionStatus

    /** It gets single reads, as probes; [due] says whether the next one may be sent. */
    data class Probed(val due: Boolean) : EjectionStatus
}
