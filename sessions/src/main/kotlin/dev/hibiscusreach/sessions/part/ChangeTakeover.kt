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

/** Monitors changes of primary by other proxies and takes over those that make no progress. */
internal object ChangeTakeover {
    /** Pings the proxy that replaces the primary, and takes the change over after the timeout. */
    fun checkProgress(reduction: Reduction, group: GroupView) {
        val changes = reduction.settings.changes
        val rank = ProxyRanking.ownRank(reduction, group.name) ?: return
        val changer = changerEndpoint(reduction, group)
        val adoptedAt = group.adoptedAt ?: reduction.now
        val seenAt = group.changerSeenAt?.takeIf { changer != null && it > adoptedAt } ?: adoptedAt
        val askedAt = group.changerAskedAt?.takeIf { it > adoptedAt } ?: adoptedAt
        val timeout = if (changer == null) Millis(0) else changes.takeoverTimeout
        val isLate = reduction.now - adoptedAt > changes.changeTimeout + changes.rankDelay * rank
        when {
            reduction.state.fleet.storeLost || reduction.state.stoppingSince != null -> Unit
            isLate || reduction.now - seenAt > timeout + changes.rankDelay * rank ->
                PrimaryChanges.begin(reduction, group.name, ChangeReason.ABANDONED)
            reduction.now - askedAt > changes.takeoverCheckDelay -> {
                reduction.put(group.copy(changerAskedAt = reduction.now))
                changer?.let { reduction.emit(SessionEffect.AskPeer(it, PeerRequest.Ping)) }
                LeaseRenewal.read(reduction)
            }
        }
    }

    /** Handles the answer to a ping of the proxy that replaces a primary. */
    fun handleChangerAnswer(reduction: Reduction, event: SessionEvent.PeerAnswered) {
        reduction.state.groups.values
            .filter { it.change == null && GroupRecordRepair.isRecorded(reduction, it) }
            .filter { changerEndpoint(reduction, it) == event.peer }
            .forEach { group ->
                when (val outcome = event.outcome) {
                    PeerOutcome.Refused, PeerOutcome.Silent -> Unit
                    is PeerOutcome.Answered ->
                        if (outcome.answer is PeerAnswer.Done) reduction.put(group.copy(changerSeenAt = reduction.now))
                }
            }
    }

    // Null if the process that began the change is no longer registered. A restarted proxy answers at the same endpoint
    // but does not know the change.
    private fun changerEndpoint(reduction: Reduction, group: GroupView): Endpoint? =
        group.record?.changedBy?.let { changer ->
            val registered = reduction.state.fleet.records[FleetKey.proxy(changer.node)]?.record as? FleetRecord.Proxy
            registered?.takeIf { it.identity == changer }?.peerEndpoint
        }
}
