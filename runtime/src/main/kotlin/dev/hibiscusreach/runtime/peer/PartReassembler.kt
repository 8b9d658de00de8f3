package dev.hibiscusreach.runtime.peer

import java.io.ByteArrayOutputStream

/** Reassembles messages that were split into several parts. */
internal class PartReassembler {
    private val received = ByteArrayOutputStream()

    /** The complete message if [frame] is its last part, and [frame] itself otherwise. */
    fun add(frame: LinkFrame): LinkFrame {
        if (frame !is LinkFrame.Part) return frame
        if (received.size() + frame.bytes.size > LinkCodec.MAXIMUM_MESSAGE_BYTES) {
            throw FrameLengthException(
                received.size()
            )
        }
        received.write(frame.bytes)
        return if (frame.last) LinkCodec.decode(received.toByteArray()).also { received.reset() } else frame
    }
}
