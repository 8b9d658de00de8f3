package dev.hibiscusreach.runtime.backend

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.seconds

/** Limits of session connections to backend servers. */
data class SessionLimits(
    val openTimeout: Millis = 2.seconds,
    /** Longer than every deadline of the reducer; it only closes connections that the reducer no longer tracks. */
    val answerTimeout: Millis = 60.seconds,
    /** A forwarded answer must fit into a frame of 1 MiB between proxies. */
    val maximumResponseBytes: Int = MAXIMUM_RESPONSE_BYTES,
) {
    private companion object {
        const val MAXIMUM_RESPONSE_BYTES = 960 * 1024
    }
}
