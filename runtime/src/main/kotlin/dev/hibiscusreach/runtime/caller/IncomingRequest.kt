package dev.hibiscusreach.runtime.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import java.io.ByteArrayOutputStream

/** A request whose headers are complete and whose body is being received. */
internal class IncomingRequest(private val request: HttpRequest) {
    private val body = ByteArrayOutputStream()

    val keepAlive: Boolean = HttpUtil.isKeepAlive(request)
    val size: Int get() = body.size()

    fun append(content: ByteBuf) {
        content.readBytes(body, content.readableBytes())
    }

    fun received(): ReceivedRequest =
        ReceivedRequest(
            method = request.method().name(),
            path = request.uri(),
            body = body.toString(Charsets.UTF_8),
            header = { request.headers().getAll(it) },
        )
}
