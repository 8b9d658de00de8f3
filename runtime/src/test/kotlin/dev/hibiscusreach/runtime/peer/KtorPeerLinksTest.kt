package dev.hibiscusreach.runtime.peer

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.PeerUpdate
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.milliseconds
import dev.hibiscusreach.runtime.RecordingSink
import dev.hibiscusreach.runtime.ScriptedServer
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.io.ByteArrayOutputStream
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import kotlin.concurrent.thread
import kotlin.random.Random

class KtorPeerLinksTest {
    private class Node(settings: PeerLinkSettings) : AutoCloseable {
        private val listener = PeerListener.bind(Endpoint("127.0.0.1", port = 0))
        val sink = RecordingSink()
        val update = PeerUpdate(NodeIdentity(listener.endpoint, 1, 1), FailureDomainName("galway"), PeerCondition.ALIVE)
        private val links = KtorPeerLinks(listener, sink, settings, object : PeerTraffic {}) { update }

        init {
            links.start()
        }

        fun send(to: NodeIdentity, message: PeerMessage) = links.send(Effect.SendPeerMessage(to, message))

        fun contact(endpoint: Endpoint) = links.contact(Effect.ContactSeeds(listOf(endpoint)))

        override fun close() = links.close()
    }

    /** A peer that reads and writes raw frames. */
    private class RawPeer(socket: Socket) : AutoCloseable {
        private val socket = socket.apply { soTimeout = TIMEOUT_MILLIS }
        private val input = DataInputStream(socket.getInputStream())
        private val output = DataOutputStream(socket.getOutputStream())

        fun read(): ByteArray = ByteArray(input.readInt()).also(input::readFully)

        /** Writes all frames at once, as the link may be closed after the first one. */
        fun write(vararg frames: ByteArray) {
            val bytes = ByteArrayOutputStream()
            frames.forEach {
                DataOutputStream(bytes).writeInt(it.size)
                bytes.write(it)
            }
            output.write(bytes.toByteArray())
        }

        fun writeLength(length: Int) = output.writeInt(length)

        /** Whether the link is closed; closing it with unread input resets the connection. */
        fun isClosed(): Boolean =
            try {
                input.read() < 0
            } catch (failure: SocketException) {
                failure.message == "Connection reset"
            }

        override fun close() = socket.close()
    }

    private val ping = PeerMessage.Ping(sequence = 1, updates = emptyList(), generation = 0)
    private val remoteUpdate =
        PeerUpdate(NodeIdentity(Endpoint("127.0.0.1", 1), 9, 9), FailureDomainName("mayo"), PeerCondition.ALIVE)

    private fun withNodes(settings: PeerLinkSettings = PeerLinkSettings(), test: (Node, Node) -> Unit) =
        Node(settings).use { first -> Node(settings).use { second -> test(first, second) } }

    private fun rawPeer(node: Node, hello: Hello? = Hello(LinkCodec.PROTOCOL_VERSION, remoteUpdate)): RawPeer {
        val endpoint = node.update.node.peerEndpoint
        return RawPeer(Socket(endpoint.address, endpoint.port)).apply {
            read()
            hello?.let { write(LinkCodec.encode(it)) }
        }
    }

    /** Guards against messages that are lost while a link is opened, and against a link for each direction. */
    @Test
    fun `messages arrive in order in both directions`(): Unit = withNodes { first, second ->
        repeat(3) { first.send(second.update.node, ping.copy(sequence = it.toLong())) }
        expectThat(second.sink.next<Event.PeerIntroduced>().update).isEqualTo(first.update)
        repeat(3) {
            expectThat(second.sink.next<Event.PeerMessageReceived>())
                .isEqualTo(Event.PeerMessageReceived(first.update.node, ping.copy(sequence = it.toLong())))
        }
        second.send(first.update.node, ping)
        first.sink.next<Event.PeerIntroduced>()
        first.sink.next<Event.PeerMessageReceived>()
    }

    /** Guards against seeds that stay unknown, and against a second link to a known seed. */
    @Test
    fun `a contacted process is introduced each time`(): Unit = withNodes { first, second ->
        repeat(2) {
            first.contact(second.update.node.peerEndpoint)
            expectThat(first.sink.next<Event.PeerIntroduced>().update).isEqualTo(second.update)
        }
        second.sink.next<Event.PeerIntroduced>()
        expectThat(second.sink.staysSilent()).isTrue()
    }

    /** Guards against messages to an earlier run of a process that reach the later one. */
    @Test
    fun `a message to an earlier run is not delivered to the later one`(): Unit = withNodes { first, second ->
        val earlier = second.update.node.copy(startedAtMillis = 0)
        first.send(earlier, ping)
        first.sink.next<Event.PeerIntroduced>()
        expectThat(first.sink.next<Event.PeerUnreachable>().peer).isEqualTo(earlier)
        second.sink.next<Event.PeerIntroduced>()
        expectThat(second.sink.staysSilent()).isTrue()
    }

    /** Guards against messages that disappear without a report. */
    @Test
    fun `an unreachable process is reported`(): Unit = Node(PeerLinkSettings()).use { node ->
        val target = NodeIdentity(ScriptedServer.closedEndpoint(), 1, 1)
        node.send(target, ping)
        expectThat(node.sink.next<Event.PeerUnreachable>().peer).isEqualTo(target)
    }

    /** Guards against a link that is trusted after the other process died. */
    @Test
    fun `a link that breaks is reported`(): Unit = Node(PeerLinkSettings()).use { node ->
        rawPeer(node).close()
        node.sink.next<Event.PeerIntroduced>()
        expectThat(node.sink.next<Event.PeerUnreachable>().peer).isEqualTo(remoteUpdate.node)
    }

    /** Guards against a peer of another version whose messages are misread. */
    @Test
    fun `a peer of another protocol version is refused`(): Unit = Node(PeerLinkSettings()).use { node ->
        rawPeer(node, Hello(LinkCodec.PROTOCOL_VERSION + 1, remoteUpdate)).use { peer ->
            expectThat(peer.isClosed()).isTrue()
            expectThat(node.sink.events.size).isEqualTo(0)
        }
    }

    /** Guards against memory that a frame's length field reserves, and against input that is not CBOR. */
    @Test
    fun `oversized and malformed frames close the link`(): Unit = Node(PeerLinkSettings()).use { node ->
        for (length in listOf(LinkCodec.MAXIMUM_FRAME_BYTES + 1, -1, 0)) {
            rawPeer(node).use { peer ->
                peer.writeLength(length)
                expectThat(peer.isClosed()).isTrue()
            }
        }
        val random = Random(7)
        repeat(50) { round ->
            rawPeer(node).use { peer ->
                peer.write(random.nextBytes(1 + round), byteArrayOf(-1))
                expectThat(peer.isClosed()).isTrue()
            }
        }
        rawPeer(node, hello = null).use { peer ->
            peer.write(byteArrayOf(1, 2, 3))
            expectThat(peer.isClosed()).isTrue()
        }
    }

    /** Guards against configurations of large fleets that cannot be passed on, and against messages without a bound. */
    @Test
    fun `a message larger than a frame arrives whole`(): Unit = withNodes { first, second ->
        val large = PeerMessage.ConfigurationDelivered(Configuration(), List(3) { "x".repeat(1_000_000) })
        first.send(second.update.node, large)
        first.send(second.update.node, ping)
        second.sink.next<Event.PeerIntroduced>()
        expectThat(second.sink.next<Event.PeerMessageReceived>().message).isEqualTo(large)
        expectThat(second.sink.next<Event.PeerMessageReceived>().message).isEqualTo(ping)
        rawPeer(second).use { peer ->
            val part = LinkCodec.encode(LinkFrame.Part(ByteArray(1_000_000), last = false))
            peer.write(part, part, part, part, part)
            expectThat(peer.isClosed()).isTrue()
        }
    }

    /** Guards against a rolling upgrade in which one new message breaks the links. */
    @Test
    fun `messages and frames of unknown types are ignored`(): Unit = Node(PeerLinkSettings()).use { node ->
        rawPeer(node).use { peer ->
            val known = LinkCodec.encode(LinkFrame.Message(ping)).toString(Charsets.ISO_8859_1)
            // Replaces the type's name by another one of the same length, which CBOR encodes in the same way.
            peer.write(known.replace("ping", "pang").toByteArray(Charsets.ISO_8859_1))
            peer.write(known.replace("message", "massage").toByteArray(Charsets.ISO_8859_1))
            peer.write(LinkCodec.encode(LinkFrame.Message(ping)))
            node.sink.next<Event.PeerIntroduced>()
            expectThat(node.sink.next<Event.PeerMessageReceived>().message).isEqualTo(PeerMessage.Unknown)
            expectThat(node.sink.next<Event.PeerMessageReceived>().message).isEqualTo(ping)
        }
    }

    /** Guards against a link that stays open although the peer no longer answers. */
    @Test
    fun `a link on which the peer stops answering is closed and opened again`() {
        val settings = PeerLinkSettings(checkPeriod = 50.milliseconds, silenceLimit = 200.milliseconds)
        Node(settings).use { node ->
            ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()).use { server ->
                val identity = NodeIdentity(Endpoint("127.0.0.1", server.localPort), 1, 1)
                val hello = LinkCodec.encode(Hello(LinkCodec.PROTOCOL_VERSION, remoteUpdate.copy(node = identity)))
                val accepted = thread { repeat(2) { RawPeer(server.accept()).write(hello) } }
                repeat(2) {
                    node.send(identity, ping)
                    node.sink.next<Event.PeerIntroduced>()
                    expectThat(node.sink.next<Event.PeerUnreachable>().peer).isEqualTo(identity)
                }
                accepted.join()
            }
        }
    }

    /** Guards against memory that grows with the messages to a process that reads nothing. */
    @Test
    fun `a link whose process reads nothing is closed`(): Unit = Node(PeerLinkSettings()).use { node ->
        rawPeer(node).use {
            node.sink.next<Event.PeerIntroduced>()
            val large = PeerMessage.ConfigurationDelivered(Configuration(), listOf("x".repeat(500_000)))
            repeat(60) { node.send(remoteUpdate.node, large) }
            expectThat(node.sink.next<Event.PeerUnreachable>().peer).isEqualTo(remoteUpdate.node)
        }
    }

    /** Guards against a loss report when two processes only stop using their link. */
    @Test
    fun `an unused link is closed without a report and opened again`() {
        val settings = PeerLinkSettings(checkPeriod = 50.milliseconds, idleLimit = 100.milliseconds)
        withNodes(settings) { first, second ->
            repeat(2) {
                first.send(second.update.node, ping)
                first.sink.next<Event.PeerIntroduced>()
                second.sink.next<Event.PeerIntroduced>()
                second.sink.next<Event.PeerMessageReceived>()
                Thread.sleep(400)
                expectThat(first.sink.events.toList() + second.sink.events.toList()).isEqualTo(emptyList())
            }
        }
    }

    private companion object {
        const val TIMEOUT_MILLIS = 5_000
        const val BACKLOG = 5
    }
}
