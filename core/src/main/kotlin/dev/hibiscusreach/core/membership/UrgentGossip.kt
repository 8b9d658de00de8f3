package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.DrainPhase
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Sends updates at once that must reach peers sooner than periodic pings would carry them. */
internal class UrgentGossip(private val context: StepContext) {
    private val pings = Pings(context)

    /** Announces that this process is draining, once when its shutdown begins. */
    fun drainPhaseChanged(state: ProxyState, phase: DrainPhase): Step =
        if (phase == DrainPhase.SERVING || state.membership.draining) {
            Step(state)
        } else {
            sendToRandomPeers(state.withMembership { copy(draining = true) }).withSignals(Signal.MembershipChanged)
        }

    /** Forwards urgent updates of other processes at once, unless this period's limit of forwards is reached. */
    fun forward(state: ProxyState): Step =
        if (state.membership.protocol.urgentForwards < MAXIMUM_FORWARDS) {
            sendToRandomPeers(state.withProtocol { copy(urgentForwards = urgentForwards + 1) })
        } else {
            Step(state)
        }

    /** Sends the pending updates to random peers at once. */
    fun sendToRandomPeers(state: ProxyState): Step =
        state.membership
            .livePeers()
            .shuffled(context.randomFor("announcement"))
            .take(state.settings.membership.announcementFanOut)
            .fold(Step(state)) { step, peer -> step.then { pings.sendUpdates(it, peer.node) } }

    private companion object {
        /** Limits the messages per period while many peers are wrongly suspected, such as on a lossy network. */
        const val MAXIMUM_FORWARDS = 4
    }
}
