package dev.hibiscusreach.runtime

import dev.hibiscusreach.core.model.Endpoint
import java.io.BufferedReader
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** An HTTP server on a port of its own that answers as [script] says; null closes the connection. */
internal class ScriptedServer(private val script: (request: String, body: String) -> String?) : AutoCloseable {
    private val socket = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val accepted = CopyOnWriteArrayList<Socket>()

    val endpoint = Endpoint(socket.inetAddress.hostAddress, socket.localPort)

    /** First lines of the requests, in order. */
    val requests = CopyOnWriteArrayList<String>()

    val connectionCount: Int get() = accepted.size

    init {
        thread(isDaemon = true) { ignoringClose { while (true) serve(socket.accept()) } }
    }

    /** Closes the connections that are open now. */
    fun closeConnections() = accepted.forEach(Socket::close)

    override fun close() {
        socket.close()
        closeConnections()
    }

    private fun serve(connection: Socket) {
        accepted += connection
        thread(isDaemon = true) {
            ignoringClose {
                val reader = connection.getInputStream().bufferedReader(Charsets.ISO_8859_1)
                while (answer(reader, connection)) Unit
                connection.close()
            }
        }
    }

    private fun answer(reader: BufferedReader, connection: Socket): Boolean {
        val first = reader.readLine() ?: return false
        requests += first
        val headers = generateSequence(reader::readLine).takeWhile { it.isNotEmpty() }.toList()
        val length = headers.find { it.startsWith("content-length:", ignoreCase = true) }
        val body = CharArray(length?.substringAfter(':')?.trim()?.toInt() ?: 0)
        var read = 0
        while (read < body.size) read += reader.read(body, read, body.size - read)
        val response = script(first, String(body))
        response?.let { connection.getOutputStream().write(it.encodeToByteArray()) }
        return response != null
    }

    private fun ignoringClose(action: () -> Unit) {
        try {
            action()
        } catch (failure: SocketException) {
            check(socket.isClosed || accepted.any(Socket::isClosed)) { "unexpected $failure" }
        }
    }

    companion object {
        private const val BACKLOG = 50

        /** A whole HTTP response. */
        fun response(status: Int, body: String = ""): String =
            "HTTP/1.1 $status Status\r\nContent-Length: ${body.encodeToByteArray().size}\r\n\r\n$body"

        /** The endpoint of a port at which nothing listens. */
        fun closedEndpoint(): Endpoint = ScriptedServer { _, _ -> null }.use { it.endpoint }
    }
}
