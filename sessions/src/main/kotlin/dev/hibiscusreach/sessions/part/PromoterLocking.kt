package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.LogLevel
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
 * The lock that a proxy must hold to request a promotion; one proxy has it at a time. Its fencing token is the revision
 * of the promoter's record, so it increases with every holder.
 */
internal object PromoterLocking {
    /**
     * Requests the lock, or reads the store again while another proxy holds it. If a server leads by an earlier
     * request, the lock is not needed.
     */
    fun advance(reduction: Reduction, group: GroupView, change: PrimaryChange) {
        val fleet = reduction.state.fleet
        val newPrimary = LeadingServer.find(reduction, group, change)
        val stored = fleet.records[FleetKey.PROMOTER]
        val holder = (stored?.record as? FleetRecord.Promoter)?.holder
        val stale =
            fleet.promoterSeenAt?.let { reduction.now - it > reduction.settings.changes.promoterLockTakeover } ?: false
        val available = holder == null || holder.node == reduction.state.self.identity.node || stale
        when {
            newPrimary != null ->
                ChangePublication.publish(reduction, group, change, newPrimary.name, newPrimary.term)
            !PrimaryChanges.areRequestsDue(reduction, change) -> Unit
            !available -> {
                // The holder may have requested the promotion of the same successor.
                SuccessorChoice.requestStatuses(reduction, group)
                LeaseRenewal.read(reduction)
            }
            else -> {
                val record = FleetRecord.Promoter(reduction.state.self.identity)
                val requested =
                    change.copy(
                        requestsSentAt = reduction.now,
                        promoterLock = PromoterLock(token = 0, requestedAt = reduction.now),
                    )
                reduction.put(group.copy(change = requested))
                reduction.emit(SessionEffect.WriteFleet(FleetKey.PROMOTER, record, stored?.revision))
            }
        }
    }

    /** Handles the outcome of a write of the promoter's record; requests the promotion if the lock was acquired. */
    fun handleWriteOutcome(reduction: Reduction, event: SessionEvent.FleetWritten) {
        LeaseRenewal.written(reduction, event)
        val outcome = event.outcome
        val isRelease = (event.record as? FleetRecord.Promoter)?.let { it.holder == null } ?: false
        val group = reduction.state.groups.values.find { it.change?.phase == ChangePhase.ACQUIRING }
        val requested = group?.change?.promoterLock
        if (outcome is WriteOutcome.Written && !isRelease && requested != null) {
            requestPromotion(reduction, group, group.change, requested.copy(token = outcome.revision.ordinal))
        }
    }

    /**
     * Releases the lock once no request is unanswered. Then waits for the successor to lead, or looks for another one
     * if it was rejected.
     */
    fun handlePromotionOutcome(reduction: Reduction, event: SessionEvent.PromotionAnswered) {
        val fleet = reduction.state.fleet
        val unanswered = fleet.promotionsRequested - event.group
        reduction.state = reduction.state.copy(fleet = fleet.copy(promotionsRequested = unanswered))
        val group = reduction.group(event.group)
        val change = group.change
        logOutcome(reduction, event, change)
        releaseLock(reduction)
        if (change?.phase != ChangePhase.PROMOTING || change.successor != event.server) return
        when (event.outcome) {
            PromotionOutcome.ACCEPTED, PromotionOutcome.UNKNOWN -> {
                val requested =
                    change.copy(
                        statuses = emptyMap(),
                        reportedSince = null,
                        mayHaveLed = change.mayHaveLed + event.server,
                        promotionAccepted = event.outcome == PromotionOutcome.ACCEPTED,
                    )
                PrimaryChanges.enterPhase(reduction, group, requested, ChangePhase.CONFIRMING)
            }
            PromotionOutcome.REJECTED ->
                SuccessorPromotion.inspectServers(
                    reduction,
                    group,
                    change.copy(rejected = change.rejected + event.server),
                )
        }
    }

    private fun logOutcome(reduction: Reduction, event: SessionEvent.PromotionAnswered, change: PrimaryChange?) {
        val isUnknown = event.outcome == PromotionOutcome.UNKNOWN
        reduction.log(
            if (isUnknown) "promotion without an answer" else "promotion answered",
            "group" to event.group,
            "successor" to event.server,
            "outcome" to event.outcome.name,
            "fencingToken" to change?.promoterLock?.token,
            "epoch" to reduction.group(event.group).record?.epoch,
            "millis" to change?.let { reduction.now - it.phaseSince },
            level = if (isUnknown) LogLevel.WARN else LogLevel.INFO,
        )
    }

    // The lock is used only while no other proxy can have taken it over.
    private fun requestPromotion(reduction: Reduction, group: GroupView, change: PrimaryChange, lock: PromoterLock) {
        val successor = change.successor ?: return
        if (reduction.now - lock.requestedAt > reduction.settings.changes.promoterLockUse) {
            reduction.put(group.copy(change = change.copy(promoterLock = null)))
        } else {
            reduction.log(
                "promotion ordered",
                "group" to group.name,
                "successor" to successor,
                "fencingToken" to lock.token,
            )
            PrimaryChanges.enterPhase(reduction, group, change.copy(promoterLock = lock), ChangePhase.PROMOTING)
            val fleet = reduction.state.fleet
            val promotions = fleet.promotionsRequested + group.name
            reduction.state = reduction.state.copy(fleet = fleet.copy(promotionsRequested = promotions))
            reduction.emit(SessionEffect.Promote(group.name, successor, lock.token))
        }
    }

    // The lock is one for all groups: another holder's token must not reach the platform before this one's requests.
    private fun releaseLock(reduction: Reduction) {
        val fleet = reduction.state.fleet
        val stored = fleet.records[FleetKey.PROMOTER] ?: return
        val isHeld = (stored.record as? FleetRecord.Promoter)?.holder == reduction.state.self.identity
        if (isHeld && fleet.promotionsRequested.isEmpty()) {
            val record = FleetRecord.Promoter(holder = null)
            reduction.emit(SessionEffect.WriteFleet(FleetKey.PROMOTER, record, stored.revision))
        }
    }
}
