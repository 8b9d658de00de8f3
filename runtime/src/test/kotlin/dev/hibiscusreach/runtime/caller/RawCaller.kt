package dev.hibiscusreach.runtime.caller

import dev.hibiscusreach.core.model.Endpoint
import java.net.Socket

/** A caller on a plain socket, which can send malformed and partial requests. */
internal class RawCaller(endpoint: Endpoint) : AutoCloseable {
    class Response(val status: Int, val headers: Map<String, String>, val body: String)

    private val socket = Socket(endpoint.address, endpoint.port).apply { soTimeout = TIMEOUT_MILLIS }
    private val input = socket.getInputStream().buffered()

    fun write(text: String) = socket.getOutputStream().write(text.encodeToByteArray())

    fun post(path: String, body: String, vararg headers: String) {
        val lines = listOf("POST $path HTTP/1.1", "Host: proxy", "Content-Length: ${body.length}", *headers)
        write(lines.joinToString("\r\n", postfix = "\r\n\r\n") + body)
    }

    fun endOutput() = socket.shutdownOutput()

    /** Reads until the proxy closes the connection. */
    fun readAll(): String = input.readAllBytes().decodeToString()

    /** Resets the TCP connection, as happens when a process dies. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Waits for the next byte or the end of the stream; true if the proxy closed the connection. */
    fun isClosed(): Boolean = input.read() < 0

    fun read(): Response {
        val status = line().split(' ')[1].toInt()
        val headers =
            generateSequence { line().ifEmpty { null } }
                .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val body = input.readNBytes(headers["content-length"]?.toInt() ?: 0).decodeToString()
        return Response(status, headers, body)
    }

    override fun close() = socket.close()

    private fun line(): String {
        val bytes = generateSequence { input.read() }.takeWhile { it != '\n'.code }
        return bytes
            .onEach { check(it >= 0) { "the connection was closed within a response" } }
            .map { it.toChar() }
            .joinToString("")
            .trim()
    }

    private companion object {
        const val TIMEOUT_MILLIS = 5_000
    }
}
