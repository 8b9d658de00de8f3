package dev.hibiscusreach.runtime.caller

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.seconds

/** Limits that bound the memory and time that one caller connection can use. */
data class CallerLimits(
    val maximumConnections: Int = 10_000,
    val maximumHeaderBytes: Int = MAXIMUM_HEADER_BYTES,
    /** A forwarded request must fit into a frame of 1 MiB between proxies. */
    val maximumBodyBytes: Int = MAXIMUM_BODY_BYTES,
    /** Bodies of all requests that are being received or wait for their answers. */
    val maximumBufferedBytes: Long = MAXIMUM_BUFFERED_BYTES,
    /** Requests of one connection that may wait for their answers; further ones are not read until then. */
    val maximumInFlight: Int = 16,
    /** From the first byte of a request to its last. */
    val receiveTimeout: Millis = 10.seconds,
    val idleTimeout: Millis = 60.seconds,
    /** Longest time that the caller may take to accept an answer. */
    val sendTimeout: Millis = 30.seconds,
) {
    private companion object {
        const val MAXIMUM_HEADER_BYTES = 16 * 1024
        const val MAXIMUM_BODY_BYTES = 512 * 1024
        const val MAXIMUM_BUFFERED_BYTES = 64L * 1024 * 1024
    }
}
