package dev.hibiscusreach.runtime.peer

import dev.hibiscusreach.core.event.PeerUpdate
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import java.io.IOException

/** An established link to one process. Not thread-safe; runs on the thread of the peer links. */
internal class PeerLink(
    private val socket: FrameSocket,
    val remote: PeerUpdate,
    private val settings: PeerLinkSettings,
    private val listener: Listener,
) {
    /** Receives the events of the link. */
    interface Listener {
        /** A frame other than those of the link itself arrived. */
        suspend fun received(link: PeerLink, frame: LinkFrame.Message, bytes: Int)

        /** A frame was sent. */
        fun sent(link: PeerLink, bytes: Int)

        /** The link is being closed gracefully; nothing more may be queued. */
        fun closing(link: PeerLink)

        /** The link is closed for [reason]. */
        fun closed(link: PeerLink, reason: String)
    }

    private val queue = Channel<ByteArray>(Channel.UNLIMITED)
    private val reassembler = PartReassembler()
    private var queuedBytes = 0
    private var writer: Job? = null
    private var reader: Job? = null
    private var closingGracefully = false
    private var closeReason = "closed by the peer"
    private var silentSince: Long? = null
    private var lastMessageAt = System.nanoTime()

    /** Starts to send and receive; the job ends with the link. */
    fun start(scope: CoroutineScope): Job {
        writer = scope.launch { closingOnFailure(::writeFrames) }
        return scope.launch {
            val reading = launch { closingOnFailure(::readFrames) }
            reader = reading
            reading.join()
            queue.close()
            if (closingGracefully) writer?.join() else writer?.cancel()
            socket.close()
            listener.closed(this@PeerLink, closeReason)
        }
    }

    /** Queues [frames], all or none; false if the queue is full or the link is closing. */
    fun offer(frames: List<ByteArray>): Boolean {
        val size = frames.sumOf { it.size }
        val fits = queuedBytes == 0 || queuedBytes + size <= settings.maximumQueuedBytes
        if (fits && frames.all { queue.trySend(it).isSuccess }) {
            queuedBytes += size
            lastMessageAt = System.nanoTime()
            if (silentSince == null) silentSince = lastMessageAt
        }
        return fits && !closingGracefully
    }

    /** Sends a heartbeat if the peer has not answered; closes a link that is broken or idle. */
    fun check(now: Long) {
        val silence = silentSince?.let { (now - it) / NANOS_PER_MILLI }
        when {
            silence != null && silence > settings.silenceLimit.value -> close("no answer from the peer")
            silence != null && silence > settings.checkPeriod.value -> queue.trySend(heartbeat)
            (now - lastMessageAt) / NANOS_PER_MILLI > settings.idleLimit.value -> closeGracefully()
        }
    }

    /** Sends what is queued and a goodbye frame; the link closes once the other side has closed it. */
    fun closeGracefully() {
        if (!closingGracefully) {
            closingGracefully = true
            queue.trySend(goodbye)
            queue.close()
            // Starts the silence limit, within which the other side must close the link.
            silentSince = System.nanoTime()
            listener.closing(this)
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
            when (val frame = reassembler.add(LinkCodec.decode(bytes))) {
                is LinkFrame.Message -> {
                    lastMessageAt = System.nanoTime()
                    listener.received(this, frame, bytes.size)
                }
                LinkFrame.Heartbeat -> queue.trySend(heartbeatAnswer)
                LinkFrame.Goodbye -> break
                is LinkFrame.Part, LinkFrame.HeartbeatAnswer, LinkFrame.Unknown -> Unit
            }
        }
        closingGracefully = true
        listener.closing(this)
    }

    private suspend fun closingOnFailure(action: suspend () -> Unit) =
        try {
            action()
        } catch (failure: IOException) {
            close(failure.toString())
        } catch (failure: MalformedFrameException) {
            close(failure.message.orEmpty())
        }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        val heartbeat = LinkCodec.encode(LinkFrame.Heartbeat)
        val heartbeatAnswer = LinkCodec.encode(LinkFrame.HeartbeatAnswer)
        val goodbye = LinkCodec.encode(LinkFrame.Goodbye)
    }
}
