package dev.hibiscusreach.systemtests.freshness

import dev.hibiscusreach.systemtests.stops.StopConfiguration
import java.io.IOException
import java.net.InetAddress
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit

/** An answer of the host [node] that only a version older than [version] allows. */
internal data class LateAnswer(val node: String, val version: Int, val askedAt: Long, val what: String) {
    /** Time from the confirmation of the version at [confirmedAt] to the request. */
    fun millisAfter(confirmedAt: Long): Long = TimeUnit.NANOSECONDS.toMillis(askedAt - confirmedAt)
}

/**
 * Asks one host again and again for the database that the newest version adds, and for the one that it removes, of the
 * versions that were confirmed so long ago that they have to be in force.
 */
internal class VersionProbe(
    private val node: String,
    private val port: Int,
    private val configuration: StopConfiguration,
    private val late: ConcurrentLinkedQueue<LateAnswer>,
) {
    var requests = 0
        private set

    /** Asks until [isEnded], on the thread of the call. */
    fun run(isEnded: () -> Boolean) {
        while (!isEnded()) {
            try {
                probe()
            } catch (_: IOException) {
                // The process is not running; it is not in touch then.
            }
            Thread.sleep(PERIOD_MILLIS)
        }
    }

    private fun probe() {
        val askedAt = System.nanoTime()
        val version = configuration.newestConfirmed(before = askedAt - TimeUnit.MILLISECONDS.toNanos(BOUND_MILLIS))
        val added = answer(StopConfiguration.databaseOf(version))
        if (added.startsWith("ERROR NOTFOUND")) late += LateAnswer(node, version, askedAt, "refuses what it adds")
        val removedBy = StopConfiguration.removedBy(version) ?: return
        if (answer(removedBy).startsWith("READY")) late += LateAnswer(node, version, askedAt, "accepts what it removes")
    }

    private fun answer(database: String): String =
        Socket(InetAddress.getLoopbackAddress(), port).use { socket ->
            socket.soTimeout = ANSWER_MILLIS
            socket.getOutputStream().write("CONNECT $database probe\r\n".encodeToByteArray())
            requests++
            socket.getInputStream().bufferedReader().readLine().orEmpty()
        }

    companion object {
        /** A confirmed version is in force at each host in touch after this time. */
        const val BOUND_MILLIS = 3_000L
        private const val PERIOD_MILLIS = 100L
        private const val ANSWER_MILLIS = 2_000
    }
}
