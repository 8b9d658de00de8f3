package dev.hibiscusreach.systemtests.processes

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.BlockingQueue
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.LinkedBlockingQueue
import kotlin.concurrent.thread

/**
 * Forwards loopback connections to the port [target], and holds back or loses what they carry when told to. Bytes that
 * are held back are delivered later, also if their sender has closed the connection meanwhile, but not if it has reset
 * it.
 */
internal class LoopbackRelay(private val target: Int) : AutoCloseable {
    private class Link(val near: Socket, val far: Socket) {
        @Volatile
        var lost = false
    }

    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val links = ConcurrentHashMap.newKeySet<Link>()

    @Volatile
    private var held = false

    @Volatile
    private var resetting = false

    /** The port at which connections are accepted. */
    val port: Int get() = listener.localPort

    init {
        thread(isDaemon = true) { accept() }
    }

    /** Holds back the bytes of all connections, also of new ones, until [release]. */
    fun hold() {
        held = true
    }

    /** Resets all connections, also new ones, until [release]. */
    fun reset() {
        resetting = true
        links.forEach(::reset)
    }

    fun release() {
        held = false
        resetting = false
    }

    /** Loses all further bytes of the open connections, which stay open. New connections work. */
    fun loseOpenConnections() = links.forEach { it.lost = true }

    override fun close() {
        listener.close()
        links.forEach(::end)
    }

    private fun accept() {
        while (!listener.isClosed) {
            try {
                val near = listener.accept()
                val link = Link(near, Socket(InetAddress.getLoopbackAddress(), target))
                links += link
                if (resetting) reset(link)
                thread(isDaemon = true) { pump(link, link.near, link.far) }
                thread(isDaemon = true) { pump(link, link.far, link.near) }
            } catch (_: IOException) {
                // The relay was closed.
            }
        }
    }

    private fun pump(link: Link, from: Socket, to: Socket) {
        val received = LinkedBlockingQueue<ByteArray>()
        thread(isDaemon = true) { deliver(link, received, from, to) }
        try {
            val buffer = ByteArray(BUFFER_BYTES)
            val input = from.getInputStream()
            generateSequence { input.read(buffer) }.takeWhile { it >= 0 }.forEach { received += buffer.copyOf(it) }
        } catch (_: IOException) {
            // The sender has reset the connection, or the relay has ended it.
            endUnlessLost(link, from)
        }
        received += END
    }

    private fun deliver(link: Link, received: BlockingQueue<ByteArray>, from: Socket, to: Socket) {
        try {
            generateSequence(received::take).takeWhile { it !== END }.forEach { bytes ->
                while (held && !link.lost) Thread.sleep(POLL_MILLIS)
                if (!link.lost) to.getOutputStream().write(bytes)
            }
        } catch (_: IOException) {
            // The receiver has closed the connection, or the relay has ended it.
        }
        endUnlessLost(link, from)
    }

    // The far end of a lost connection must not learn that the near end has closed it.
    private fun endUnlessLost(link: Link, from: Socket) {
        if (!link.lost || from === link.near) end(link)
    }

    private fun reset(link: Link) {
        listOf(link.near, link.far).forEach { it.setSoLinger(true, 0) }
        end(link)
    }

    private fun end(link: Link) {
        links -= link
        link.near.close()
        link.far.close()
    }

    private companion object {
        const val BACKLOG = 200
        const val BUFFER_BYTES = 16 * 1024
        const val POLL_MILLIS = 5L
        val END = ByteArray(0)
    }
}
