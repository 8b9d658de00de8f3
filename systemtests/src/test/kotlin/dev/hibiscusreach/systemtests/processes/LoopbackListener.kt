package dev.hibiscusreach.systemtests.processes

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** Accepts loopback connections at [port] and hands each to [accepted]; after [close] the port is free again. */
internal class LoopbackListener(private val port: Int, private val accepted: (Socket) -> Unit) : AutoCloseable {
    private val socket = ServerSocket()
    private val acceptor: Thread

    val isClosed: Boolean get() = socket.isClosed

    init {
        socket.reuseAddress = true
        socket.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG)
        acceptor = thread(isDaemon = true) { accept() }
    }

    /** The system keeps the port until a pending accept has returned. */
    override fun close() {
        socket.close()
        acceptor.join()
    }

    private fun accept() {
        while (!socket.isClosed) {
            try {
                accepted(socket.accept())
            } catch (_: IOException) {
                // The listener was closed.
            }
        }
    }

    private companion object {
        const val BACKLOG = 200
    }
}
