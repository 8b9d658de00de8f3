package dev.hibiscusreach.runtime.peer

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.PeerUpdate
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.runtime.adapter.PeerLinks
import dev.hibiscusreach.runtime.loop.EventSink
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.util.concurrent.Executors

/** Links to the other proxies over Ktor sockets. All links run on one thread, so that they need no locks. */
class KtorPeerLinks(
    private val listener: PeerListener,
    private val sink: EventSink,
    private val settings: PeerLinkSettings,
    traffic: PeerTraffic,
    self: () -> PeerUpdate,
) : PeerLinks {
    private val executor = Executors.newSingleThreadExecutor { Thread(it, "peer-links").apply { isDaemon = true } }
    private val failures = CoroutineExceptionHandler { _, failure -> log.error("peer link failed", failure) }
    private val scope = CoroutineScope(SupervisorJob() + executor.asCoroutineDispatcher() + failures)
    private val handshake = Handshake(settings, self)
    private val links = LinkTable(settings, sink, traffic)
    private val pendingLinks = HashMap<Endpoint, PendingLink>()
    private var accepted = 0

    /** A link that is being opened, with the messages that wait for it. */
    private class PendingLink {
        val waiting = mutableListOf<Pair<NodeIdentity, List<ByteArray>>>()
        var waitingBytes = 0
    }

    /** Starts accepting links and checking the open ones. */
    fun start() {
        scope.launch { acceptLinks() }
        scope.launch {
            while (true) {
                delay(settings.checkPeriod.value)
                links.check()
            }
        }
    }

    override fun send(effect: Effect.SendPeerMessage) {
        scope.launch { send(effect.to, effect.message) }
    }

    override fun contact(effect: Effect.ContactSeeds) {
        scope.launch {
            for (endpoint in effect.endpoints.filter { it != listener.endpoint }) {
                val known = links.at(endpoint)
                if (known == null) openLink(endpoint) else sink.submit(Event.PeerIntroduced(known.remote))
            }
        }
    }

    /** Closes all links; sends what is queued, but waits no longer than the handshake timeout. */
    override fun close() {
        runBlocking {
            withTimeoutOrNull(settings.handshakeTimeout.value) {
                scope.launch { links.closeAllGracefully() }.join()
            }
        }
        scope.cancel()
        listener.close()
        executor.shutdown()
    }

    private fun send(to: NodeIdentity, message: PeerMessage) {
        val frames = LinkCodec.encode(message)
        val link = links[to]
        when {
            frames.sumOf { it.size } > LinkCodec.MAXIMUM_MESSAGE_BYTES ->
                log.error("{} of {} frames is too large for {}", message::class.simpleName, frames.size, to)
            link != null -> if (!link.offer(frames)) link.close("send queue is full")
            else -> enqueue(to, frames)
        }
    }

    private fun enqueue(to: NodeIdentity, frames: List<ByteArray>) {
        val pending = openLink(to.peerEndpoint)
        val size = frames.sumOf { it.size }
        if (pending.waitingBytes + size <= settings.maximumQueuedBytes) {
            pending.waiting += to to frames
            pending.waitingBytes += size
        } else {
            sink.submit(Event.PeerUnreachable(to))
        }
    }

    private fun openLink(endpoint: Endpoint): PendingLink =
        pendingLinks.getOrPut(endpoint) {
            PendingLink().also { scope.launch { open(endpoint, it) } }
        }

    private suspend fun open(endpoint: Endpoint, pending: PendingLink) {
        val link = handshake.open { listener.connect(endpoint) }?.let(links::register)
        pendingLinks.remove(endpoint)
        val (reached, unreachable) = pending.waiting.partition { (node, _) -> node == link?.remote?.node }
        unreachable.map { it.first }.distinct().forEach { sink.submit(Event.PeerUnreachable(it)) }
        reached.forEach { (_, frames) -> link?.offer(frames) }
        link?.start(scope)
    }

    private suspend fun acceptLinks() {
        while (true) {
            val socket = listener.accept()
            when {
                socket == null -> delay(settings.checkPeriod.value)
                accepted < settings.maximumAcceptedLinks -> scope.launch { accept(socket) }
                else -> socket.close()
            }
        }
    }

    private suspend fun accept(socket: FrameSocket) {
        accepted++
        try {
            handshake.accept(socket)?.let(links::register)?.start(scope)?.join()
        } finally {
            accepted--
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger(KtorPeerLinks::class.java)
    }
}
