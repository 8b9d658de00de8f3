package dev.hibiscusreach.runtime.caller

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.seconds

/** Limits on the memory, time and connections that callers can use. */
data class CallerLimits(
    val maximumConnections: Int = 10_000,
    val maximumHeaderBytes: Int = MAXIMUM_HEADER_BYTES,
    /** A forwarded request must fit into a frame of 1 MiB between proxies. */
    val maximumBodyBytes: Int = MAXIMUM_BODY_BYTES,
    /** Total size of the bodies of all requests that are being received or wait for their answers. */
    val maximumBufferedBytes: Long = MAXIMUM_BUFFERED_BYTES,
    /** Requests of one connection that may wait for their answers; reading pauses at this limit. */
    val maximumInFlight: Int = 16,
    /** Time from the first byte of a request to its last. */
    val receiveTimeout: Millis = 10.seconds,
    val idleTimeout: Millis = 60.seconds,
    /** Time in which the write of an answer must complete. */
    val sendTimeout: Millis = 30.seconds,
) {
    private companion object {
        const val MAXIMUM_HEADER_BYTES = 16 * 1024
        const val MAXIMUM_BODY_BYTES = 512 * 1024
        const val MAXIMUM_BUFFERED_BYTES = 64L * 1024 * 1024
    }
}
