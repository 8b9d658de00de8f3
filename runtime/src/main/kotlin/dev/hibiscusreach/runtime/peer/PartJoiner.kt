package dev.hibiscusreach.runtime.peer

import java.io.ByteArrayOutputStream

/** Joins the parts of large messages. */
internal class PartJoiner {
    private val joined = ByteArrayOutputStream()

    /** The whole message if [frame] is its last part, and [frame] itself otherwise. */
    fun join(frame: LinkFrame): LinkFrame {
        if (frame !is LinkFrame.Part) return frame
        if (joined.size() + frame.bytes.size > LinkCodec.MAXIMUM_MESSAGE_BYTES) {
            throw FrameLengthException(
                joined.size()
            )
        }
        joined.write(frame.bytes)
        return if (frame.last) LinkCodec.decode(joined.toByteArray()).also { joined.reset() } else frame
    }
}
