package dev.hibiscusreach.runtime.peer

import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.runtime.loop.EventSink
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory

/** The established links by the process at their other end. If both sides opened one, the latest is used to send. */
internal class LinkTable(
    private val settings: PeerLinkSettings,
    private val sink: EventSink,
    private val traffic: PeerTraffic,
) : PeerLink.Listener {
    private val links = HashMap<NodeIdentity, PeerLink>()
    private val open = HashSet<PeerLink>()

    /** The link to [node], or null. */
    operator fun get(node: NodeIdentity): PeerLink? = links[node]

    /** A link to the process at [endpoint], or null. */
    fun at(endpoint: Endpoint): PeerLink? = links.values.find { it.remote.node.peerEndpoint == endpoint }

    /** Adds a link after its handshake. */
    fun register(completed: Handshake.Completed): PeerLink {
        val link = PeerLink(completed.socket, completed.remote, settings, listener = this)
        links[completed.remote.node] = link
        open += link
        sink.submit(Event.PeerIntroduced(completed.remote))
        return link
    }

    /** Checks all links for peers that stopped answering and for idle time. */
    fun check() {
        val now = System.nanoTime()
        open.toList().forEach { it.check(now) }
    }

    /** Closes all links gracefully and waits until everything queued is sent. */
    suspend fun closeAllGracefully() = open.toList().onEach(PeerLink::closeGracefully).forEach { it.awaitSent() }

    override suspend fun received(link: PeerLink, frame: LinkFrame.Message, bytes: Int) {
        while (sink.isCongested) delay(CONGESTION_PAUSE_MILLIS)
        traffic.received(link.remote.failureDomain.value, bytes)
        sink.submit(Event.PeerMessageReceived(link.remote.node, frame.message))
    }

    override fun sent(link: PeerLink, bytes: Int) = traffic.sent(link.remote.failureDomain.value, bytes)

    override fun closing(link: PeerLink) {
        links.remove(link.remote.node, link)
    }

    override fun closed(link: PeerLink, reason: String) {
        open -= link
        if (links.remove(link.remote.node, link)) {
            log.info("link to {} is closed: {}", link.remote.node, reason)
            sink.submit(Event.PeerUnreachable(link.remote.node))
        }
    }

    private companion object {
        const val CONGESTION_PAUSE_MILLIS = 5L
        val log = LoggerFactory.getLogger(LinkTable::class.java)
    }
}
