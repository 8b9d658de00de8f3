package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.PeerUpdate
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxySettings
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.encodeToByteArray
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isLessThan
import kotlin.random.Random

class MembershipCostTest {
    private val domain = FailureDomainName("failure-domain-1")
    private val random = Random(1)
    private val node = TestNode(ProxySettings(identity(0), domain))

    // Guards against traffic that grows with the fleet. The limit for all control traffic of a node is 7 KB a second.
    @ParameterizedTest
    @ValueSource(ints = [10, 1_300])
    fun `pings and acknowledgements take less than 3 KB a second for any size of the fleet`(size: Int) {
        val peers = (1 until size).map { PeerUpdate(identity(it), domain, PeerCondition.ALIVE) }
        handle(Event.Started, now = 0)
        handle(Event.PeerIntroduced(peers.first()), now = 0).forEach { acknowledge(it, peers, now = 0) }

        val bytes = (1..PERIODS).sumOf { period(peers, now = it * PERIOD_MILLIS) }

        expectThat(node.membership.livePeers()).hasSize(size - 1)
        expectThat(bytes / (PERIODS * PERIOD_MILLIS / MILLIS_PER_SECOND)).isLessThan(3_000)
    }

    /** Bytes sent and received in a period in which the process pings a peer and is pinged by another one. */
    private fun period(peers: List<PeerUpdate>, now: Long): Long {
        val sent = handle(Event.TimerFired(TimerKey.MembershipPeriod), now)
        val answers = sent.flatMap { acknowledge(it, listOf(PeerUpdate(it.to, domain, PeerCondition.ALIVE)), now) }
        val ping = PeerMessage.Ping(now, listOf(peers.random(random)), generation = 0)
        return size(sent) + size(answers) + size(receive(peers.random(random), ping, now))
    }

    private fun acknowledge(ping: Effect.SendPeerMessage, updates: List<PeerUpdate>, now: Long) =
        receive(updates.first(), acknowledgement((ping.message as PeerMessage.Ping).sequence, updates), now)

    private fun acknowledgement(sequence: Long, updates: List<PeerUpdate>) =
        PeerMessage.Acknowledgement(sequence, updates, generation = 0)

    private fun receive(from: PeerUpdate, message: PeerMessage, now: Long) =
        handle(Event.PeerMessageReceived(from.node, message), now)

    private fun handle(event: Event, now: Long): List<Effect.SendPeerMessage> =
        node.handle(event, now, random.nextLong()).filterIsInstance<Effect.SendPeerMessage>()

    @OptIn(ExperimentalSerializationApi::class)
    private fun size(messages: List<Effect.SendPeerMessage>): Long =
        messages.sumOf { Cbor.encodeToByteArray(it.message).size.toLong() }

    private fun identity(number: Int) = NodeIdentity(TestFleet.endpoint(number), startedAtMillis = number.toLong(), 0)

    private companion object {
        const val PERIODS = 240
        const val PERIOD_MILLIS = 500L
        const val MILLIS_PER_SECOND = 1_000L
    }
}
