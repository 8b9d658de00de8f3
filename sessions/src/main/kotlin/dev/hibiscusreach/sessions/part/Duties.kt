package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.event.PromotionOutcome
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.WriteOutcome
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.state.ChangePhase
import dev.hibiscusreach.sessions.state.Duty
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange

/**
 * The right to order promotions, which one proxy has at a time. Its fencing token is the revision of the promoter's
 * record, so it increases with every holder.
 */
internal object Duties {
    fun review(turn: Turn, group: GroupView, change: PrimaryChange) {
        val fleet = turn.state.fleet
        val stored = fleet.records[FleetKey.PROMOTER]
        val holder = (stored?.record as? FleetRecord.Promoter)?.holder
        val stale = fleet.promoterSeenAt?.let { turn.now - it > turn.settings.changes.dutyTakeover } ?: false
        val free = holder == null || holder.node == turn.state.place.identity.node || stale
        when {
            !Changes.isDue(turn, change) -> Unit
            !free -> {
                turn.put(group.copy(change = change.copy(repeatedAt = turn.now)))
                Leases.read(turn)
            }
            else -> {
                val record = FleetRecord.Promoter(turn.state.place.identity)
                val requested = change.copy(repeatedAt = turn.now, duty = Duty(token = 0, requestedAt = turn.now))
                turn.put(group.copy(change = requested))
                turn.emit(SessionEffect.WriteFleet(FleetKey.PROMOTER, record, stored?.revision))
            }
        }
    }

    fun written(turn: Turn, outcome: WriteOutcome) {
        Leases.written(turn, FleetKey.PROMOTER, outcome)
        val group = turn.state.groups.values.find { it.change?.phase == ChangePhase.ACQUIRING }
        val requested = group?.change?.duty
        if (outcome is WriteOutcome.Written && requested != null) {
            promote(turn, group, group.change, requested.copy(token = outcome.revision))
        }
    }

    fun answered(turn: Turn, event: SessionEvent.PromotionAnswered) {
        val group = turn.group(event.group)
        val change = group.change ?: return
        turn.log(
            "promotion answered",
            "group" to event.group,
            "successor" to event.server,
            "outcome" to event.outcome.name,
            "fencingToken" to change.duty?.token,
        )
        if (change.phase != ChangePhase.PROMOTING || change.successor != event.server) return
        release(turn)
        when (event.outcome) {
            PromotionOutcome.ACCEPTED, PromotionOutcome.UNKNOWN ->
                Changes.enter(turn, group, change.copy(statuses = emptyMap()), ChangePhase.CONFIRMING)
            PromotionOutcome.REJECTED ->
                Successions.inspect(turn, group, change.copy(rejected = change.rejected + event.server))
        }
    }

    // The right is used only while no other proxy can have taken it over.
    private fun promote(turn: Turn, group: GroupView, change: PrimaryChange, duty: Duty) {
        val successor = change.successor ?: return
        if (turn.now - duty.requestedAt > turn.settings.changes.dutyUse) {
            turn.put(group.copy(change = change.copy(duty = null)))
        } else {
            turn.log("promotion ordered", "group" to group.name, "successor" to successor, "fencingToken" to duty.token)
            Changes.enter(turn, group, change.copy(duty = duty), ChangePhase.PROMOTING)
            turn.emit(SessionEffect.Promote(group.name, successor, duty.token))
        }
    }

    private fun release(turn: Turn) {
        val stored = turn.state.fleet.records[FleetKey.PROMOTER] ?: return
        val record = FleetRecord.Promoter(holder = null)
        turn.emit(SessionEffect.WriteFleet(FleetKey.PROMOTER, record, stored.revision))
    }
}
