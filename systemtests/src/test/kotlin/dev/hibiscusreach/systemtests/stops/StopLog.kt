package dev.hibiscusreach.systemtests.stops

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit

/** When proxies were told to stop, and what went wrong with the stops themselves. */
internal class StopLog {
    private data class Stop(val node: String, val requestedAt: Long)

    private val stops = ConcurrentLinkedQueue<Stop>()
    private val failures = ConcurrentLinkedQueue<String>()

    val count: Int get() = stops.size

    /** One line for each process that had to be killed or ended by itself. */
    val findings: List<String> get() = failures.toList()

    fun requested(node: String) = stops.add(Stop(node, System.nanoTime()))

    fun failed(finding: String) = failures.add(finding)

    /** The times of a statement relative to the latest request to stop its proxy before [endedAt]. */
    fun describe(statement: SentStatement, endedAt: Long): String {
        val stop =
            stops
                .filter { it.node == statement.node && it.requestedAt <= endedAt }
                .maxByOrNull { it.requestedAt } ?: return "(no stop)"
        val sent = TimeUnit.NANOSECONDS.toMillis(statement.sentAt - stop.requestedAt)
        val ended = TimeUnit.NANOSECONDS.toMillis(endedAt - stop.requestedAt)
        return "(sent $sent ms and ended $ended ms after SIGTERM)"
    }
}
