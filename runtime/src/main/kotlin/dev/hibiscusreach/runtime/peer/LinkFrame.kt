package dev.hibiscusreach.runtime.peer

import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.PeerUpdate
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The part of a [Hello] that all protocol versions share. */
@Serializable
internal data class HelloVersion(val protocolVersion: Int)

/** The first frame in both directions. */
@Serializable
internal data class Hello(val protocolVersion: Int, val self: PeerUpdate)

/** Every frame after the [Hello]. */
@Serializable
internal sealed interface LinkFrame {
    /** A message for the reducer. */
    @Serializable
    @SerialName("message")
    data class Message(val message: PeerMessage) : LinkFrame

    /** Asks for a [HeartbeatAnswer], to find out whether a silent link still works. */
    @Serializable
    @SerialName("heartbeat")
    data object Heartbeat : LinkFrame

    /** Answers a [Heartbeat]. */
    @Serializable
    @SerialName("heartbeatAnswer")
    data object HeartbeatAnswer : LinkFrame

    /** The sender sends nothing more and reads until the receiver closes, so that no message is lost. */
    @Serializable
    @SerialName("goodbye")
    data object Goodbye : LinkFrame

    /** A frame of a type that this version does not know; ignored. */
    @Serializable
    @SerialName("unknown")
    data object Unknown : LinkFrame
}
