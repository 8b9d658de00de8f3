package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.DrainPhase
import dev.hibiscusreach.core.event.ListedHost
import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.ServerName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isIn
import strikt.assertions.isTrue

class MembershipPartTest {
    private val fleet = TestFleet()
    private val yard = FailureDomainName("yard")

    // Guards against a process that joins through one seed and never learns of the others.
    @Test
    fun `processes that share one seed find each other`() {
        val nodes = fleet.startAll(count = 8)

        expectThat(nodes).all { get { membership.livePeers() }.hasSize(7) }
    }

    // Guards against a fleet that cannot form because the seeds of the settings are out of date.
    @Test
    fun `processes without seeds find each other through the host list`() {
        fleet.platform.hosts = (1..6).map { ListedHost(TestFleet.endpoint(it), yard) }
        val nodes = (1..6).map { fleet.start(it, seeds = emptyList()) }

        fleet.run(seconds = 5)

        expectThat(nodes).all { get { membership.livePeers() }.hasSize(5) }
    }

    // Guards against work that is sent to a dead process for longer than the takeover needs.
    @Test
    fun `a killed process is gone for all peers within 5 seconds`() {
        val nodes = fleet.startAll(count = 8)
        val killed = nodes[3]
        val others = nodes - killed

        fleet.kill(killed)
        fleet.run(seconds = 5)

        expectThat(others).all {
            get { isLive(killed) }.isFalse()
            get { signals }.contains(Signal.PeerGone(killed.identity))
            get { membership.livePeers() }.hasSize(6)
        }
    }

    // Guards against a restarted process that is taken for its earlier run.
    @Test
    fun `a restart at the same address replaces the earlier run`() {
        val nodes = fleet.startAll(count = 6)
        val earlier = nodes[2]

        val restarted = fleet.start(3, earlier.domain)
        fleet.run(seconds = 3)

        expectThat(nodes - earlier).all {
            get { isLive(restarted) }.isTrue()
            get { isLive(earlier) }.isFalse()
            get { signals }.contains(Signal.PeerGone(earlier.identity))
        }
    }

    // Guards against a host that is ignored because its clock was wrong when it booted.
    @Test
    fun `a restart with an earlier clock replaces the run that is gone`() {
        val nodes = fleet.startAll(count = 6)
        val earlier = nodes[2]

        val restarted = fleet.start(3, earlier.domain, startedAtMillis = -1)
        fleet.run(seconds = 15)

        expectThat(nodes - earlier).all { get { isLive(restarted) }.isTrue() }
        expectThat(restarted.membership.livePeers()).hasSize(5)
    }

    // Guards against false alarms by one broken path.
    @Test
    fun `peers that cannot reach each other directly are kept alive by pings through others`() {
        val nodes = fleet.startAll(count = 9, domains = listOf("yard", "store", "dublin"))
        fleet.isCut = { from, to -> setOf(from, to) == setOf("yard", "store") }

        fleet.run(seconds = 60)

        expectThat(nodes).all { get { signals.filterIsInstance<Signal.PeerGone>() }.isEmpty() }
        expectThat(nodes).all { get { membership.livePeers() }.hasSize(8) }
    }

    // Guards against a process that stays dead for its peers, or takes them for dead, because it did not run.
    @Test
    fun `a paused process notices its pause and is taken for alive again`() {
        val nodes = fleet.startAll(count = 8)
        val paused = nodes[4]
        fleet.pause(paused, millis = 10_000)
        fleet.run(seconds = 9)
        expectThat(nodes - paused).all { get { isLive(paused) }.isFalse() }
        nodes.forEach { it.signals.clear() }

        fleet.run(seconds = 5)

        expectThat(paused.signals.first()).isA<Signal.PauseDetected>().get { pausedMillis }.isIn(9_500L..10_000L)
        expectThat(paused.signals.filterIsInstance<Signal.PauseDetected>()).hasSize(1)
        expectThat(paused.signals.filterIsInstance<Signal.PeerGone>()).isEmpty()
        expectThat(nodes - paused).all {
            get { isLive(paused) }.isTrue()
            get { signals }.contains(Signal.PeerGone(paused.identity))
        }
    }

    // Guards against processes that are taken for gone because their refutation spreads slower than the suspicion.
    @Test
    fun `processes that pause for less than the suspicion time are not taken for gone`() {
        val nodes = fleet.startAll(count = 60)
        nodes.forEach { it.signals.clear() }

        repeat(40) { second ->
            fleet.pause(nodes[second], millis = 1_800)
            fleet.run(seconds = 1)
        }

        expectThat(nodes).all { get { signals.filterIsInstance<Signal.PeerGone>() }.isEmpty() }
    }

    // Guards against halves of the fleet that stay apart after the network is whole again.
    @Test
    fun `failure domains that were separated find each other again without the platform`() {
        val nodes = fleet.startAll(count = 8)
        fleet.platform.isDown = true
        fleet.isCut = { from, to -> from != to }
        fleet.run(seconds = 600)
        expectThat(nodes).all { get { membership.livePeers() }.hasSize(3) }

        fleet.isCut = { _, _ -> false }
        fleet.run(seconds = 15)

        expectThat(nodes).all { get { membership.livePeers() }.hasSize(7) }
    }

    // Guards against new work that is sent to a process which is about to exit.
    @Test
    fun `a draining process takes no work for any peer within 2 seconds and stays excluded while suspected`() {
        val nodes = fleet.startAll(count = 8)
        val draining = nodes[1]

        fleet.deliver(draining, Signal.DrainPhaseChanged(DrainPhase.LEAVING))
        fleet.run(seconds = 2)
        expectThat(nodes).all { get { takesWork(draining) }.isFalse() }
        expectThat(nodes).all { get { isLive(draining) }.isTrue() }

        fleet.kill(draining)
        fleet.runMillis(1_500)
        expectThat(nodes - draining).all { get { takesWork(draining) }.isFalse() }
    }

    // Guards against homes that move because of a short hiccup.
    @Test
    fun `a suspected process keeps its work`() {
        val nodes = fleet.startAll(count = 8)
        val suspected = nodes[1]

        fleet.kill(suspected)
        fleet.runMillis(1_500)

        val condition = nodes[0].membership.peers[suspected.identity.peerEndpoint]?.condition
        expectThat(condition).isEqualTo(PeerCondition.SUSPECTED)
        expectThat(nodes[0].takesWork(suspected)).isTrue()
    }

    // Guards against work for leaving hosts, and against every process reading the list.
    @Test
    fun `two watchers for each failure domain tell the others which hosts are leaving`() {
        val nodes = fleet.startAll(count = 12)
        val watchers = listOf("yard", "dublin").flatMap { Watchers.of(nodes[0].state, FailureDomainName(it)) }
        val leavingProxy = nodes.first { it.identity !in watchers }
        val server = ServerName("jobs-2")
        fleet.platform.hosts =
            listOf(
                ListedHost(Endpoint("10.1.0.2", port = 1), yard, leaving = true, server),
                ListedHost(leavingProxy.identity.peerEndpoint, yard, leaving = true),
            )
        fleet.platform.calls.clear()

        fleet.run(seconds = 11)

        expectThat(nodes).all { get { signals }.contains(Signal.LeavingServersListed(setOf(server))) }
        expectThat(nodes).all { get { takesWork(leavingProxy) }.isFalse() }
        expectThat(fleet.platform.users { it is PlatformCall.ListHosts }).containsExactlyInAnyOrder(watchers)
    }

    private fun TestNode.takesWork(other: TestNode): Boolean =
        other.identity in membership.takingWork(FailureDomainName(other.domain))
}
