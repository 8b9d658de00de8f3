package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PartName
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.ReducerPart
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Owns the session connections to backend servers and the permits of callers. */
internal class PoolsPart : ReducerPart {
    override fun handle(state: ProxyState, event: Event, context: StepContext): Step =
        when (event) {
            is Event.Started -> start(state, context.now)
            is Event.TimerFired -> if (event.key == TimerKey.PoolPeriod) maintain(state, context.now) else Step(state)
            is Event.PeerMessageReceived -> handlePeerMessage(state, event.from, event.message, context.now)
            is Signal -> handleSignal(state, event, context.now)
            else -> handleConnection(state, event, context.now)
        }

    private fun handleConnection(state: ProxyState, event: Event, now: MonotonicTime): Step =
        when (event) {
            is Event.ConnectionOpened -> ConnectionLifecycle.onConnectionOpened(state, event.connection, now)
            is Event.ConnectionOpenFailed ->
                ConnectionLifecycle.onConnectionOpenFailed(state, event.connection, event.failure, now)
            is Event.ConnectionClosed -> ConnectionLifecycle.onConnectionClosed(state, event.connection)
            is Event.SessionAnswered ->
                if (event.attempt.owner == PartName.POOLS) {
                    ConnectionHealthChecks.onCheckAnswered(state, event.connection, event.answer, now)
                } else {
                    Step(state)
                }
            else -> Step(state)
        }

    private fun handleSignal(state: ProxyState, signal: Signal, now: MonotonicTime): Step =
        when (signal) {
            is Signal.ConnectionRequested -> ConnectionQueue.enqueue(state, signal, now)
            is Signal.ConnectionRequestCancelled -> ConnectionQueue.cancel(state, signal.attempt)
            is Signal.ConnectionReturned ->
                ConnectionDispatch.onConnectionReturned(state, signal.connection, signal.condition, now)
            is Signal.MembershipChanged, is Signal.ConfigurationChanged, is Signal.DrainPhaseChanged ->
                ShareRoles.evaluate(state, now)
            is Signal.PeerGone -> recordPeerLoss(state, signal.node, now)
            is Signal.PauseDetected -> recoverFromPause(state, now)
            else -> Step(state)
        }

    private fun handlePeerMessage(
        state: ProxyState,
        from: NodeIdentity,
        message: PeerMessage,
        now: MonotonicTime,
    ): Step =
        when (message) {
            is PeerMessage.SharesRequested -> ShareRelease.onSharesRequested(state, from, message.database)
            is PeerMessage.SharesRemaining -> ShareAcquisition.onSharesRemaining(state, from, message, now)
            is PeerMessage.PermitsRequested -> PermitLending.onPermitsRequested(state, from, message, now)
            is PeerMessage.PermitsGranted ->
                PermitBorrowing
                    .onPermitsGranted(state, message, now)
                    .then { CrossDomainBorrowing.onPermitsGranted(it, from, message, now) }
            is PeerMessage.PermitLoansRequested -> PermitLedgers.onLoansRequested(state, from, message.caller, now)
            is PeerMessage.PermitLoansDelivered -> PermitLedgers.onLoansDelivered(state, message, now)
            else -> Step(state)
        }

    private fun start(state: ProxyState, now: MonotonicTime): Step {
        val permits = state.pools.permits.copy(lastLenderLossAt = now)
        return Step(state.copy(pools = state.pools.copy(permits = permits)))
            .withEffects(Effect.StartTimer(TimerKey.PoolPeriod, state.settings.pool.period))
            .then { ShareRoles.evaluate(it, now) }
    }

    private fun maintain(state: ProxyState, now: MonotonicTime): Step =
        Step(state)
            .withEffects(Effect.StartTimer(TimerKey.PoolPeriod, state.settings.pool.period))
            .then { ShareAcquisition.advance(it, now) }
            .then { ConnectionHealthChecks.maintain(it, now) }
            .then { ConnectionQueue.maintain(it, now) }
            .then { PermitBorrowing.maintain(it, now) }
            .then { PermitLending.maintain(it, now) }

    private fun recordPeerLoss(state: ProxyState, node: NodeIdentity, now: MonotonicTime): Step {
        val isOwnDomain = state.membership.domainOf(node) == state.settings.failureDomain
        val permits = state.pools.permits.copy(lastLenderLossAt = now)
        return if (isOwnDomain) {
            Step(state.copy(pools = state.pools.copy(permits = permits, lastHomeLossAt = now)))
        } else {
            Step(state)
        }
    }

    private fun recoverFromPause(state: ProxyState, now: MonotonicTime): Step =
        state.pools.pools.values
            .flatMap { it.idle }
            .fold(Step(state)) { step, number -> step.then { ConnectionRemoval.close(it, number) } }
            .then { ShareRoles.reacquireAfterPause(it, now) }
}
