package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.PeerUpdate
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Answers pings, settles acknowledgements and learns from the updates that both carry. */
internal class GossipExchange(private val context: StepContext) {
    private val pings = Pings(context)
    private val updates = PeerUpdates(context)
    private val announcement = Announcement(context)

    /** Handles a process having introduced itself on a new link. */
    fun introduced(state: ProxyState, update: PeerUpdate): Step =
        learn(state, listOf(update), spread = true)
            .then {
                // A peer that was taken for gone learns so from the ping, and refutes it.
                if (it.membership.isLive(update.node)) pings.probe(it, update.node) else pings.notify(it, update.node)
            }

    /** Answers the ping of [from]. */
    fun pinged(state: ProxyState, from: NodeIdentity, ping: PeerMessage.Ping): Step =
        learn(state, ping.updates, spread = true)
            .then { pings.acknowledge(it, from, ping.sequence, wholeView = ping.wantsView) }

    /** Ends the probe that the acknowledgement answers, and passes it on if another node asked for the ping. */
    fun acknowledged(state: ProxyState, from: NodeIdentity, message: PeerMessage.Acknowledgement): Step {
        val probe = state.membership.protocol.probes[message.sequence]
        val matches = probe != null && probe.target == (message.target ?: from)
        val answersView = matches && probe is Probe.Own && probe.wantsView && message.target == null
        val settled = if (matches) settle(state, message.sequence, answersView) else Step(state)
        return settled
            .then { learn(it, message.updates, spread = !answersView) }
            .then { if (isRefuting(state, it)) pings.notify(it, from) else Step(it) }
            .then { if (matches && probe is Probe.Relayed) passOn(it, probe) else Step(it) }
    }

    /** Pings the target of [request] for [requester], unless many probes are open already. */
    fun pingRequested(state: ProxyState, requester: NodeIdentity, request: PeerMessage.IndirectPing): Step =
        if (state.membership.protocol.isBusy) {
            Step(state)
        } else {
            pings.await(state, Probe.Relayed(request.target, requester, request.sequence))
        }

    private fun settle(state: ProxyState, sequence: Long, answersView: Boolean): Step =
        Step(
            state.withProtocol {
                copy(probes = probes.remove(sequence), viewNeeded = viewNeeded && !answersView)
            },
            listOf(Effect.CancelTimer(TimerKey.PingTimeout(sequence))),
        )

    private fun passOn(state: ProxyState, probe: Probe.Relayed): Step =
        pings.acknowledge(state, probe.requester, probe.requesterSequence, target = probe.target)

    private fun learn(state: ProxyState, received: List<PeerUpdate>, spread: Boolean): Step {
        val learned = updates.apply(state, received, spread)
        val isUrgent = isRefuting(state, learned.state) || received.any { learnedOfDraining(state, learned.state, it) }
        return if (isUrgent) learned.then { announcement.spread(it) } else learned
    }

    private fun isRefuting(before: ProxyState, after: ProxyState): Boolean =
        after.membership.refutation > before.membership.refutation

    // Every peer that learns of a draining one passes it on at once, so that new work stops within a few round trips.
    private fun learnedOfDraining(before: ProxyState, after: ProxyState, update: PeerUpdate): Boolean {
        val endpoint = update.node.peerEndpoint
        return update.condition == PeerCondition.DRAINING &&
            before.membership.peers[endpoint]?.draining == false &&
            after.membership.peers[endpoint]?.draining == true
    }
}
