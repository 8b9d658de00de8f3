package dev.hibiscusreach.systemtests.processes

import java.io.IOException
import java.net.InetAddress
import java.net.Socket

/** One TCP connection of a caller that sends what no well-behaved client would. */
internal class RawConnection(port: Int) : AutoCloseable {
    private val socket = Socket(InetAddress.getLoopbackAddress(), port).apply { soTimeout = TIMEOUT_MILLIS }
    private val input = socket.getInputStream().buffered()

    fun send(text: String) {
        socket.getOutputStream().write(text.encodeToByteArray())
        socket.getOutputStream().flush()
    }

    /** Closes the sending direction only. */
    fun closeOutput() = socket.shutdownOutput()

    /** Reads one answer whose length its headers state. */
    fun receive(): CallerReply {
        val status = line().split(' ')[1].toInt()
        val headers = generateSequence { line().ifEmpty { null } }.toList()
        val length = headers.first { it.startsWith("content-length:", ignoreCase = true) }.substringAfter(':').trim()
        return CallerReply(status, input.readNBytes(length.toInt()).decodeToString())
    }

    override fun close() = socket.close()

    private fun line(): String {
        val bytes = generateSequence { byte() }.takeWhile { it != LINE_END }.toList()
        return bytes.map { it.toChar() }.joinToString("").trimEnd('\r')
    }

    private fun byte(): Int = input.read().also { if (it < 0) throw IOException("the proxy closed the connection") }

    private companion object {
        const val TIMEOUT_MILLIS = 15_000
        const val LINE_END = '\n'.code
    }
}

/** The text of a statements request. */
internal data class RawRequest(
    val body: String = """{"statements":[{"text":"get raw"}],"access":"read"}""",
    val database: String = FleetFiles.DATABASE,
    val caller: String = FleetFiles.CALLER,
    val requestId: String = "raw-1",
    val session: String? = null,
    val contentLength: Int = body.encodeToByteArray().size,
) {
    val text: String
        get() {
            val headers =
                listOfNotNull(
                    "POST /v1/databases/$database/statements HTTP/1.1",
                    "Host: 127.0.0.1",
                    "Hibiscusreach-Caller: $caller",
                    "Hibiscusreach-Request-Id: $requestId",
                    session?.let { "Hibiscusreach-Session: $it" },
                    "Content-Type: application/json",
                    "Content-Length: $contentLength",
                )
            return headers.joinToString("\r\n", postfix = "\r\n\r\n") + body
        }
}
