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

/** Knows which proxies are alive, draining or gone. */
internal class MembershipPart : ReducerPart {
    override fun handle(state: ProxyState, event: Event, context: StepContext): Step =
        MembershipStep(context).handle(state, event)
}

/** Handles one event of the membership protocol. */
private class MembershipStep(private val context: StepContext) {
    private val exchange = GossipExchange(context)
    private val detector = FailureDetector(context)
    private val hostList = HostList(context)
    private val leavingReports = LeavingReports(context)

    fun handle(state: ProxyState, event: Event): Step =
        when (event) {
            is Event.Started -> start(state)
            is Event.TimerFired -> timerFired(state, event.key)
            is Event.PeerMessageReceived -> received(state, event.from, event.message)
            is Event.PeerUnreachable -> detector.unreachable(state, event.peer)
            is Event.PeerIntroduced -> exchange.introduced(state, event.update)
            is Event.PlatformAnswered -> platformAnswered(state, event)
            is Signal.PauseDetected -> PauseDetection.resume(state, context)
            is Signal.DrainPhaseChanged -> Announcement(context).drainAdvanced(state, event.phase)
            else -> Step(state)
        }

    private fun start(state: ProxyState): Step =
        hostList
            .contactSeeds(state)
            .then { schedulePeriod(it) }
            .withEffects(hostList.start())

    private fun timerFired(state: ProxyState, key: TimerKey): Step =
        when (key) {
            is TimerKey.MembershipPeriod -> periodFired(state)
            is TimerKey.PingTimeout -> detector.timedOut(state, key.sequence)
            is TimerKey.SuspicionTimeout -> detector.suspicionEnded(state, key.node)
            is TimerKey.HostListPeriod -> hostList.periodFired(state)
            else -> Step(state)
        }

    private fun periodFired(state: ProxyState): Step {
        val count = state.membership.protocol.periods + 1
        val isViewDue = count in FIRST_VIEW_PERIODS || count % VIEW_PERIODS == 0L
        val counted = state.withProtocol { copy(periods = count, passedOn = 0, viewNeeded = viewNeeded || isViewDue) }
        val isAlone = count % SEED_PERIODS == 0L && state.membership.livePeers().isEmpty()
        return schedulePeriod(counted)
            .then { detector.probeNext(it) }
            .then { LostPeers(context).periodFired(it) }
            .then { if (isAlone) hostList.contactSeeds(it) else Step(it) }
    }

    private fun schedulePeriod(state: ProxyState): Step {
        val period = state.settings.membership.period
        return Step(
            state.withProtocol { copy(periodDue = context.now + period) },
            listOf(Effect.StartTimer(TimerKey.MembershipPeriod, period)),
        )
    }

    private fun received(state: ProxyState, from: NodeIdentity, message: PeerMessage): Step =
        when (message) {
            is PeerMessage.Ping -> exchange.pinged(state, from, message)
            is PeerMessage.Acknowledgement -> exchange.acknowledged(state, from, message)
            is PeerMessage.IndirectPing -> exchange.pingRequested(state, from, message)
            is PeerMessage.LeavingHostsReported -> leavingReports.received(state, from, message)
            else -> Step(state)
        }

    private fun platformAnswered(state: ProxyState, event: Event.PlatformAnswered): Step =
        if (event.call.owner == PartName.MEMBERSHIP) {
            hostList.answered(state, event.call, event.answer)
        } else {
            Step(state)
        }

    private companion object {
        /** A process without peers contacts the seeds every two seconds. */
        const val SEED_PERIODS = 4L

        /** Periods after the start in which a whole view is requested again: many processes may start together. */
        val FIRST_VIEW_PERIODS = setOf(10L, 40L)

        /** A whole view every ten minutes repairs what gossip missed, at about 0.3 KB/s for 1,300 processes. */
        const val VIEW_PERIODS = 1_200L
    }
}
