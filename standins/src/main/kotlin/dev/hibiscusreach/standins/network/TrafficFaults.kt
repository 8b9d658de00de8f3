package dev.hibiscusreach.standins.network

import java.util.concurrent.atomic.AtomicLong

/** Faults of a server's traffic. Used on the server's event loop only. */
internal class TrafficFaults(val latencyMillis: Long = 0) {
    /** If set, requests are read and dropped, and answers are not sent. */
    var isolated: Boolean = false

    /** Added to the time of every answer. */
    var slowMillis: Long = 0

    private var silentBelow = 0L

    /** Makes all connections that are open now unresponsive for the rest of their life. */
    fun silenceOpenConnections() {
        silentBelow = ConnectionNumbers.next()
    }

    /** Whether the traffic of [connection] is dropped. */
    fun drops(connection: Long): Boolean = isolated || connection < silentBelow
}

/** Gives every connection of the process a number; later connections have higher ones. */
internal object ConnectionNumbers {
    private val counter = AtomicLong()

    fun next(): Long = counter.incrementAndGet()
}
