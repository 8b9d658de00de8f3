package dev.hibiscusreach.systemtests.processes

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/**
 * Chooses free loopback ports below the range from which the system takes the ports of outgoing connections. A port of
 * that range could be taken while the process that listens at it is started again.
 */
internal object FreePorts {
    private val range = 12_000..32_000
    private const val ATTEMPTS = 1_000

    /** [count] different ports. */
    fun choose(count: Int): List<Int> {
        val sockets = generateSequence { open() }.take(count).toList()
        return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
    }

    private fun open(): ServerSocket =
        (1..ATTEMPTS).firstNotNullOf {
            try {
                ServerSocket(Random.nextInt(range.first, range.last), 1, InetAddress.getLoopbackAddress())
            } catch (_: IOException) {
                null
            }
        }
}
