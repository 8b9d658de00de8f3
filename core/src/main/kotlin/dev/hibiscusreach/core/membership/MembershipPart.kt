package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PartName
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.ReducerPart
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Tracks which proxies are alive, suspected, draining or gone. */
internal class MembershipPart : ReducerPart {
    override fun handle(state: ProxyState, event: Event, context: StepContext): Step =
        MembershipEventHandler(context).handle(state, event)
}

/** Handles events of the membership protocol. */
private class MembershipEventHandler(private val context: StepContext) {
    private val exchange = GossipExchange(context)
    private val detector = FailureDetector(context)
    private val hostListReader = HostListReader(context)
    private val leavingHostsReporter = LeavingHostsReporter(context)

    fun handle(state: ProxyState, event: Event): Step =
        when (event) {
            is Event.Started -> start(state)
            is Event.TimerFired -> timerFired(state, event.key)
            is Event.PeerMessageReceived -> received(state, event.from, event.message)
            is Event.PeerUnreachable -> detector.unreachable(state, event.peer)
            is Event.PeerIntroduced -> exchange.introduced(state, event.update)
            is Event.PlatformAnswered -> platformAnswered(state, event)
            is Signal.PauseDetected -> PauseDetection.resume(state, context)
            is Signal.DrainPhaseChanged -> UrgentGossip(context).drainPhaseChanged(state, event.phase)
            else -> Step(state)
        }

    private fun start(state: ProxyState): Step =
        hostListReader
            .contactSeeds(state)
            .then { schedulePeriod(it) }
            .withEffects(hostListReader.start())

    private fun timerFired(state: ProxyState, key: TimerKey): Step =
        when (key) {
            is TimerKey.MembershipPeriod -> periodFired(state)
            is TimerKey.PingTimeout -> detector.timedOut(state, key.sequence)
            is TimerKey.SuspicionTimeout -> detector.suspicionEnded(state, key.node)
            is TimerKey.HostListPeriod -> hostListReader.periodFired(state)
            else -> Step(state)
        }

    private fun periodFired(state: ProxyState): Step {
        val count = state.membership.protocol.periodCount + 1
        val isViewDue = count in FIRST_VIEW_PERIODS || count % VIEW_PERIODS == 0L
        val counted =
            state.withProtocol {
                copy(periodCount = count, urgentForwards = 0, fullViewNeeded = fullViewNeeded || isViewDue)
            }
        val isSeedContactDue = count % SEED_PERIODS == 0L && state.membership.livePeers().isEmpty()
        return schedulePeriod(counted)
            .then { detector.probeNext(it) }
            .then { PeerReconnection(context).periodFired(it) }
            .then { if (isSeedContactDue) hostListReader.contactSeeds(it) else Step(it) }
    }

    private fun schedulePeriod(state: ProxyState): Step {
        val period = state.settings.membership.period
        return Step(
            state.withProtocol { copy(periodDueAt = context.now + period) },
            listOf(Effect.StartTimer(TimerKey.MembershipPeriod, period)),
        )
    }

    private fun received(state: ProxyState, from: NodeIdentity, message: PeerMessage): Step =
        when (message) {
            is PeerMessage.Ping -> exchange.pinged(state, from, message)
            is PeerMessage.Acknowledgement -> exchange.acknowledged(state, from, message)
            is PeerMessage.IndirectPing -> exchange.pingRequested(state, from, message)
            is PeerMessage.LeavingHostsReported -> leavingHostsReporter.received(state, from, message)
            else -> Step(state)
        }

    private fun platformAnswered(state: ProxyState, event: Event.PlatformAnswered): Step =
        if (event.call.owner == PartName.MEMBERSHIP) {
            hostListReader.answered(state, event.call, event.answer)
        } else {
            Step(state)
        }

    private companion object {
        /** A process without peers contacts the seeds every two seconds. */
        const val SEED_PERIODS = 4L

        /** Periods after the start that request the full view again, because many processes may start together. */
        val FIRST_VIEW_PERIODS = setOf(10L, 40L)

        /** A full view every ten minutes repairs updates that gossip missed, at about 0.3 KB/s for 1,300 processes. */
        const val VIEW_PERIODS = 1_200L
    }
}
