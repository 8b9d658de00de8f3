package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.sessions.event.PeerOutcome
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.PeerAnswer
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.state.ChangeReason
import dev.hibiscusreach.sessions.state.GroupView

/** Watches changes that other proxies carry out, and continues those that they have left. */
internal object ChangeTakeover {
    /** Asks the proxy that changes the primary whether it goes on, and takes the change over if it does not. */
    fun review(turn: Reduction, group: GroupView) {
        val changes = turn.settings.changes
        val rank = ProxyRanking.own(turn, group.name) ?: return
        val changer = changer(turn, group)
        val adoptedAt = group.adoptedAt ?: turn.now
        val seenAt = group.changerSeenAt?.takeIf { changer != null && it > adoptedAt } ?: adoptedAt
        val askedAt = group.changerAskedAt?.takeIf { it > adoptedAt } ?: adoptedAt
        val patience = if (changer == null) Millis(0) else changes.takeoverTimeout
        when {
            turn.state.fleet.storeLost || turn.state.stoppingSince != null -> Unit
            turn.now - seenAt > patience + changes.rankDelay * rank ->
                PrimaryChanges.begin(turn, group.name, ChangeReason.ABANDONED)
            turn.now - askedAt > changes.takeoverCheckDelay -> {
                turn.put(group.copy(changerAskedAt = turn.now))
                changer?.let { turn.emit(SessionEffect.AskPeer(it, PeerRequest.Ping)) }
                LeaseRenewal.read(turn)
            }
        }
    }

    /** Handles the answer to the question whether the proxy that changes a primary goes on. */
    fun changerAnswered(turn: Reduction, event: SessionEvent.PeerAnswered) {
        turn.state.groups.values
            .filter { it.change == null && changer(turn, it) == event.peer }
            .forEach { group ->
                when (val outcome = event.outcome) {
                    PeerOutcome.NotRunning -> PrimaryChanges.begin(turn, group.name, ChangeReason.ABANDONED)
                    PeerOutcome.Silent -> Unit
                    is PeerOutcome.Answered ->
                        if (outcome.answer is PeerAnswer.Done) turn.put(group.copy(changerSeenAt = turn.now))
                }
            }
    }

    // Null once the run that began the change has ended: a later run on the same host answers at the same endpoint, but
    // knows nothing of the change.
    private fun changer(turn: Reduction, group: GroupView): Endpoint? =
        group.record?.changedBy?.let { changer ->
            val registered = turn.state.fleet.records[FleetKey.proxy(changer.node)]?.record as? FleetRecord.Proxy
            registered?.takeIf { it.identity == changer }?.peerEndpoint
        }
}
