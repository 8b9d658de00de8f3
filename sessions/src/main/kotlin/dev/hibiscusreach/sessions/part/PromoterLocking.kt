package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.event.PromotionOutcome
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.WriteOutcome
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.state.ChangePhase
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange
import dev.hibiscusreach.sessions.state.PromoterLock

/**
 * The right to order promotions, which one proxy has at a time. Its fencing token is the revision of the promoter's
 * record, so it increases with every holder.
 */
internal object PromoterLocking {
    fun review(turn: Reduction, group: GroupView, change: PrimaryChange) {
        val fleet = turn.state.fleet
        val stored = fleet.records[FleetKey.PROMOTER]
        val holder = (stored?.record as? FleetRecord.Promoter)?.holder
        val stale = fleet.promoterSeenAt?.let { turn.now - it > turn.settings.changes.promoterLockTakeover } ?: false
        val free = holder == null || holder.node == turn.state.self.identity.node || stale
        when {
            !PrimaryChanges.isDue(turn, change) -> Unit
            !free -> {
                turn.put(group.copy(change = change.copy(requestsSentAt = turn.now)))
                LeaseRenewal.read(turn)
            }
            else -> {
                val record = FleetRecord.Promoter(turn.state.self.identity)
                val requested =
                    change.copy(
                        requestsSentAt = turn.now,
                        promoterLock = PromoterLock(token = 0, requestedAt = turn.now),
                    )
                turn.put(group.copy(change = requested))
                turn.emit(SessionEffect.WriteFleet(FleetKey.PROMOTER, record, stored?.revision))
            }
        }
    }

    fun written(turn: Reduction, outcome: WriteOutcome) {
        LeaseRenewal.written(turn, FleetKey.PROMOTER, outcome)
        val group = turn.state.groups.values.find { it.change?.phase == ChangePhase.ACQUIRING }
        val requested = group?.change?.promoterLock
        if (outcome is WriteOutcome.Written && requested != null) {
            promote(turn, group, group.change, requested.copy(token = outcome.revision))
        }
    }

    fun answered(turn: Reduction, event: SessionEvent.PromotionAnswered) {
        val group = turn.group(event.group)
        val change = group.change ?: return
        turn.log(
            "promotion answered",
            "group" to event.group,
            "successor" to event.server,
            "outcome" to event.outcome.name,
            "fencingToken" to change.promoterLock?.token,
        )
        if (change.phase != ChangePhase.PROMOTING || change.successor != event.server) return
        release(turn)
        when (event.outcome) {
            PromotionOutcome.ACCEPTED, PromotionOutcome.UNKNOWN ->
                PrimaryChanges.enter(turn, group, change.copy(statuses = emptyMap()), ChangePhase.CONFIRMING)
            PromotionOutcome.REJECTED ->
                SuccessorPromotion.inspect(turn, group, change.copy(rejected = change.rejected + event.server))
        }
    }

    // The right is used only while no other proxy can have taken it over.
    private fun promote(turn: Reduction, group: GroupView, change: PrimaryChange, duty: PromoterLock) {
        val successor = change.successor ?: return
        if (turn.now - duty.requestedAt > turn.settings.changes.promoterLockUse) {
            turn.put(group.copy(change = change.copy(promoterLock = null)))
        } else {
            turn.log("promotion ordered", "group" to group.name, "successor" to successor, "fencingToken" to duty.token)
            PrimaryChanges.enter(turn, group, change.copy(promoterLock = duty), ChangePhase.PROMOTING)
            turn.emit(SessionEffect.Promote(group.name, successor, duty.token))
        }
    }

    private fun release(turn: Reduction) {
        val stored = turn.state.fleet.records[FleetKey.PROMOTER] ?: return
        val record = FleetRecord.Promoter(holder = null)
        turn.emit(SessionEffect.WriteFleet(FleetKey.PROMOTER, record, stored.revision))
    }
}
