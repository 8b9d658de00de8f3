package dev.hibiscusreach.runtime.peer

import dev.hibiscusreach.core.event.PeerUpdate
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import java.io.IOException

/** An established link to one process. Used on the links' thread. */
internal class PeerLink(
    private val socket: FrameSocket,
    val remote: PeerUpdate,
    private val settings: PeerLinkSettings,
    private val listener: Listener,
) {
    /** Told of what happens on the link. */
    interface Listener {
        /** A frame other than those of the link itself arrived. */
        suspend fun received(link: PeerLink, frame: LinkFrame.Message, bytes: Int)

        /** A frame was sent. */
        fun sent(link: PeerLink, bytes: Int)

        /** The other side closes the link; nothing must be queued any more. */
        fun leaving(link: PeerLink)

        /** The link is closed for [reason]. */
        fun closed(link: PeerLink, reason: String)
    }

    private val queue = Channel<ByteArray>(Channel.UNLIMITED)
    private var queuedBytes = 0
    private var writer: Job? = null
    private var reader: Job? = null
    private var agreed = false
    private var closeReason = "closed by the peer"
    private var silentSince: Long? = null
    private var lastMessageAt = System.nanoTime()

    /** Starts to send and receive; the job ends with the link. */
    fun start(scope: CoroutineScope): Job {
        writer = scope.launch { guarded(::writeFrames) }
        return scope.launch {
            val reading = launch { guarded(::readFrames) }
            reader = reading
            reading.join()
            queue.close()
            if (agreed) writer?.join() else writer?.cancel()
            socket.close()
            listener.closed(this@PeerLink, closeReason)
        }
    }

    /** Queues [frame]; false if too much waits already. */
    fun offer(frame: ByteArray): Boolean {
        val fits = queuedBytes + frame.size <= settings.maximumQueuedBytes
        if (fits && queue.trySend(frame).isSuccess) {
            queuedBytes += frame.size
            lastMessageAt = System.nanoTime()
            if (silentSince == null) silentSince = lastMessageAt
        }
        return fits && !agreed
    }

    /** Sends a heartbeat on a silent link; closes a broken or unused one. */
    fun check(now: Long) {
        val silence = silentSince?.let { (now - it) / NANOS_PER_MILLI }
        when {
            silence != null && silence > settings.silenceLimit.value -> close("the link went silent")
            silence != null && silence > settings.checkPeriod.value -> queue.trySend(heartbeat)
            (now - lastMessageAt) / NANOS_PER_MILLI > settings.idleLimit.value -> leave()
        }
    }

    /** Sends what is queued, then closes the link in agreement with the other side. */
    fun leave() {
        if (!agreed) {
            agreed = true
            queue.trySend(goodbye)
            queue.close()
            // The other side gets the usual time to close the link.
            silentSince = System.nanoTime()
            listener.leaving(this)
        }
    }

    /** Closes the link at once for [reason]. */
    fun close(reason: String) {
        closeReason = reason
        // Closing the socket does not wake a read that waits for the other side.
        reader?.cancel()
        socket.close()
    }

    /** Waits until everything that was queued is sent. */
    suspend fun awaitSent() {
        writer?.join()
    }

    private suspend fun writeFrames() {
        for (frame in queue) {
            socket.write(frame)
            queuedBytes = maxOf(0, queuedBytes - frame.size)
            listener.sent(this, frame.size)
        }
    }

    private suspend fun readFrames() {
        while (true) {
            val bytes = socket.read()
            silentSince = null
            when (val frame = LinkCodec.decode(bytes)) {
                is LinkFrame.Message -> {
                    lastMessageAt = System.nanoTime()
                    listener.received(this, frame, bytes.size)
                }
                LinkFrame.Heartbeat -> queue.trySend(heartbeatAnswer)
                LinkFrame.Goodbye -> break
                LinkFrame.HeartbeatAnswer, LinkFrame.Unknown -> Unit
            }
        }
        agreed = true
        listener.leaving(this)
    }

    private suspend fun guarded(action: suspend () -> Unit) =
        try {
            action()
        } catch (failure: IOException) {
            close(failure.toString())
        } catch (failure: UnreadableFrameException) {
            close(failure.message.orEmpty())
        }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        val heartbeat = LinkCodec.encode(LinkFrame.Heartbeat)
        val heartbeatAnswer = LinkCodec.encode(LinkFrame.HeartbeatAnswer)
        val goodbye = LinkCodec.encode(LinkFrame.Goodbye)
    }
}
