package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.DrainPhase
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Spreads what peers must know sooner than piggybacked updates reach them. */
internal class Announcement(private val context: StepContext) {
    private val pings = Pings(context)

    /** Announces that this process drains once its shutdown has begun. */
    fun drainAdvanced(state: ProxyState, phase: DrainPhase): Step =
        if (phase == DrainPhase.SERVING || state.membership.draining) {
            Step(state)
        } else {
            spread(state.withMembership { copy(draining = true) }).withSignals(Signal.MembershipChanged)
        }

    /** Sends the latest updates to random peers at once. */
    fun spread(state: ProxyState): Step =
        state.membership
            .livePeers()
            .shuffled(context.randomFor("announcement"))
            .take(state.settings.membership.announcementFanOut)
            .fold(Step(state)) { step, peer -> step.then { pings.notify(it, peer.node) } }
}
