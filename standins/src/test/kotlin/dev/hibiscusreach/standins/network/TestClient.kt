package dev.hibiscusreach.standins.network

import dev.hibiscusreach.core.model.Endpoint
import java.io.IOException
import java.net.Socket
import java.net.SocketTimeoutException

/** An HTTP client that holds exactly one connection, because a session is a connection. */
internal class TestClient(endpoint: Endpoint) : AutoCloseable {
    class Answer(val status: Int, val body: String)

    private val socket = Socket(endpoint.address, endpoint.port)
    private val input = socket.getInputStream().buffered()

    /** The answer to [target], such as `GET /path`, or null if none came in time or the connection was closed. */
    fun call(target: String, body: String = "", headers: String = "", timeoutMillis: Int = 5_000): Answer? =
        try {
            socket.soTimeout = timeoutMillis
            val head = "$target HTTP/1.1\r\nHost: test\r\n${headers}Content-Length: ${body.length}\r\n\r\n"
            socket.getOutputStream().write((head + body).encodeToByteArray())
            readAnswer()
        } catch (_: SocketTimeoutException) {
            null
        } catch (_: IOException) {
            null
        }

    private fun readAnswer(): Answer? {
        val head = generateSequence { readLine() }.takeWhile { it.isNotEmpty() }.toList()
        if (head.isEmpty()) return null
        val length = head.first { it.startsWith("content-length", ignoreCase = true) }.substringAfter(':').trim()
        return Answer(head.first().split(' ')[1].toInt(), input.readNBytes(length.toInt()).decodeToString())
    }

    private fun readLine(): String? {
        val bytes = generateSequence { input.read().takeIf { it >= 0 } }.takeWhile { it != '\n'.code }.toList()
        return if (bytes.isEmpty()) null else bytes.map { it.toChar() }.joinToString("").trimEnd('\r')
    }

    override fun close() = socket.close()
}
