package dev.hibiscusreach.runtime.peer

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import java.io.IOException

/** A frame whose length is outside the limits. */
internal class FrameLengthException(length: Int) : IOException("frame of $length bytes")

/** Reads and writes frames with a four-byte length prefix. */
internal class FrameSocket(private val socket: Socket) : AutoCloseable {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)

    val remoteAddress: String get() = socket.remoteAddress.toString()

    suspend fun read(): ByteArray {
        val length = input.readInt()
        if (length !in 1..LinkCodec.MAXIMUM_FRAME_BYTES) throw FrameLengthException(length)
        return input.readByteArray(length)
    }

    suspend fun write(frame: ByteArray) {
        output.writeInt(frame.size)
        output.writeByteArray(frame)
        output.flush()
    }

    override fun close() = socket.close()
}
