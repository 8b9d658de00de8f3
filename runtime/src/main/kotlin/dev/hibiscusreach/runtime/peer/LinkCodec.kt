package dev.hibiscusreach.runtime.peer

import dev.hibiscusreach.core.event.PeerMessage
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.modules.SerializersModule

/** The bytes of a frame cannot be decoded. */
internal class MalformedFrameException(cause: Throwable) : Exception("malformed frame: ${cause.message}", cause)

/** The first frame of a link has an unsupported protocol version. */
internal class ProtocolVersionMismatchException(val version: Int) :
    Exception("peer uses protocol version $version, this process uses ${LinkCodec.PROTOCOL_VERSION}")

/** CBOR encoding of the frames between proxies. */
@OptIn(ExperimentalSerializationApi::class)
internal object LinkCodec {
    const val PROTOCOL_VERSION = 1
    const val MAXIMUM_FRAME_BYTES = 1024 * 1024

    /** Maximum size of a message over all its frames. */
    const val MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024
    private const val PART_BYTES = 512 * 1024

    private val cbor =
        Cbor {
            ignoreUnknownKeys = true
            serializersModule =
                SerializersModule {
                    polymorphicDefaultDeserializer(PeerMessage::class) { PeerMessage.Unknown.serializer() }
                    polymorphicDefaultDeserializer(LinkFrame::class) { LinkFrame.Unknown.serializer() }
                }
        }

    /** [message] as frames; a large one, such as the configuration of a large fleet, takes several. */
    fun encode(message: PeerMessage): List<ByteArray> {
        val whole = encode(LinkFrame.Message(message))
        return if (whole.size <= MAXIMUM_FRAME_BYTES) listOf(whole) else split(whole)
    }

    fun encode(frame: LinkFrame): ByteArray = cbor.encodeToByteArray(LinkFrame.serializer(), frame)

    fun encode(hello: Hello): ByteArray = cbor.encodeToByteArray(Hello.serializer(), hello)

    fun decode(bytes: ByteArray): LinkFrame = decode(LinkFrame.serializer(), bytes)

    fun decodeHello(bytes: ByteArray): Hello {
        val version = decode(HelloVersion.serializer(), bytes).protocolVersion
        if (version != PROTOCOL_VERSION) throw ProtocolVersionMismatchException(version)
        return decode(Hello.serializer(), bytes)
    }

    private fun split(whole: ByteArray): List<ByteArray> =
        (whole.indices step PART_BYTES).map { start ->
            val end = minOf(start + PART_BYTES, whole.size)
            encode(LinkFrame.Part(whole.copyOfRange(start, end), last = end == whole.size))
        }

    // The library reports malformed input with several kinds of unchecked exceptions, not only its own.
    @Suppress("TooGenericExceptionCaught")
    private fun <T> decode(deserializer: DeserializationStrategy<T>, bytes: ByteArray): T =
        try {
            cbor.decodeFromByteArray(deserializer, bytes)
        } catch (failure: RuntimeException) {
            throw MalformedFrameException(failure)
        }
}
