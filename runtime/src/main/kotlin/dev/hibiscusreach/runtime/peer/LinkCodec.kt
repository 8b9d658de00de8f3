package dev.hibiscusreach.runtime.peer

import dev.hibiscusreach.core.event.PeerMessage
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.modules.SerializersModule

/** Bytes of a frame that cannot be read. */
internal class UnreadableFrameException(cause: Throwable) : Exception("unreadable frame: ${cause.message}", cause)

/** The first frame of a link shows another protocol version. */
internal class OtherVersionException(val version: Int) :
    Exception("peer has protocol version $version, this process has ${LinkCodec.PROTOCOL_VERSION}")

/** CBOR encoding of the frames between proxies. */
@OptIn(ExperimentalSerializationApi::class)
internal object LinkCodec {
    const val PROTOCOL_VERSION = 1
    const val MAXIMUM_FRAME_BYTES = 1024 * 1024

    private val cbor =
        Cbor {
            ignoreUnknownKeys = true
            serializersModule =
                SerializersModule {
                    polymorphicDefaultDeserializer(PeerMessage::class) { PeerMessage.Unknown.serializer() }
                    polymorphicDefaultDeserializer(LinkFrame::class) { LinkFrame.Unknown.serializer() }
                }
        }

    fun encode(frame: LinkFrame): ByteArray = cbor.encodeToByteArray(LinkFrame.serializer(), frame)

    fun encode(hello: Hello): ByteArray = cbor.encodeToByteArray(Hello.serializer(), hello)

    fun decode(bytes: ByteArray): LinkFrame = decode(LinkFrame.serializer(), bytes)

    fun decodeHello(bytes: ByteArray): Hello {
        val version = decode(HelloVersion.serializer(), bytes).protocolVersion
        if (version != PROTOCOL_VERSION) throw OtherVersionException(version)
        return decode(Hello.serializer(), bytes)
    }

    // The library reports malformed input with several kinds of unchecked exceptions, not only its own.
    @Suppress("TooGenericExceptionCaught")
    private fun <T> decode(deserializer: DeserializationStrategy<T>, bytes: ByteArray): T =
        try {
            cbor.decodeFromByteArray(deserializer, bytes)
        } catch (failure: RuntimeException) {
            throw UnreadableFrameException(failure)
        }
}
