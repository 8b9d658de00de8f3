package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.event.PeerOutcome
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.PeerAnswer
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.state.ChangePhase
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange

/** Ensures that no home of the group uses the old primary any more before a successor is chosen. */
internal object ChangeFencing {
    /** Starts the fencing phase and fences the primary on this proxy; the other homes are asked by [advance]. */
    fun start(reduction: Reduction, group: GroupView, change: PrimaryChange) {
        val epoch = group.record?.epoch ?: return
        val peers = GroupHomes.otherEndpoints(reduction, group.name)
        val fencing =
            change.copy(
                recordedAt = reduction.now,
                unfenced = peers,
                asked = peers,
                membersRead = false,
                mayHaveLed = setOfNotNull(group.record.successor),
            )
        PrimaryChanges.enterPhase(reduction, group, fencing, ChangePhase.FENCING)
        PrimaryFencing.fencePrimary(reduction, group.name, epoch, change.reason.planned)
        LeaseRenewal.read(reduction)
        PrimaryChanges.advance(reduction, group.name)
    }

    /** Ends the phase once every home has confirmed the fence or the leases of the others have expired. */
    fun advance(reduction: Reduction, group: GroupView, change: PrimaryChange) {
        val settled = group.fence?.settled ?: true
        val recordedAt = change.recordedAt ?: reduction.now
        val expulsionWait = PeerMonitoring.expulsionWait(reduction, group.name)
        val confirmed = change.membersRead && change.unfenced.isEmpty() && expulsionWait.value == 0L
        val leasesExpired = reduction.now > recordedAt + reduction.settings.leases.duration
        when {
            settled && confirmed -> {
                logCompletion(reduction, group, change, "all confirmed")
                SuccessorPromotion.inspectServers(reduction, group, change)
            }
            settled && leasesExpired -> {
                logCompletion(reduction, group, change, "leases expired")
                // A proxy whose lease has expired must register again before it may use primaries.
                ProxyExpulsion.expel(reduction, change.unfenced)
                SuccessorPromotion.inspectServers(reduction, group, change)
            }
            PrimaryChanges.areRequestsDue(reduction, change) -> requestFence(reduction, group, change)
        }
    }

    /**
     * Handles a store read that was sent at [sentAt], if that was after the intent was recorded. The first one adds
     * homes: a proxy whose record names the group only later uses the primary after a read that shows its record and
     * the intent. A proxy that removes its record, or the group from it, has stopped using the primary before.
     */
    fun handleMembersRead(reduction: Reduction, sentAt: MonotonicTime) {
        for (group in reduction.state.groups.values) {
            val change = group.change
            val recordedAt = change?.recordedAt
            if (change?.phase == ChangePhase.FENCING && recordedAt != null && sentAt >= recordedAt) {
                reduction.put(group.copy(change = withMembers(reduction, group, change)))
            }
        }
    }

    private fun withMembers(reduction: Reduction, group: GroupView, change: PrimaryChange): PrimaryChange {
        val recorded = change.unfenced intersect recordedHomes(reduction, group)
        if (change.membersRead) return change.copy(unfenced = recorded)
        val added = GroupHomes.otherEndpoints(reduction, group.name) - change.asked
        return change.copy(
            membersRead = true,
            unfenced = recorded + added,
            asked = change.asked + added,
            requestsSentAt = null,
        )
    }

    // Expelled homes may still use the primary under their leases.
    private fun recordedHomes(reduction: Reduction, group: GroupView): Set<Endpoint> =
        reduction.state.fleet.records.values
            .mapNotNull { it.record as? FleetRecord.Proxy }
            .filter { it.isHomeOf(group.name) }
            .map { it.peerEndpoint }
            .toSet()

    /** Handles a peer's answer to a fence request. */
    fun handleFenceAnswer(reduction: Reduction, event: SessionEvent.PeerAnswered, request: PeerRequest.Fence) {
        val group = reduction.group(GroupName(request.group))
        val change = group.change ?: return
        if (change.phase != ChangePhase.FENCING || group.record?.epoch != request.epoch) return
        logAnswer(reduction, group, change, event)
        val confirmed = (event.outcome as? PeerOutcome.Answered)?.answer == PeerAnswer.Done
        val unfenced = if (confirmed) change.unfenced - event.peer else change.unfenced
        val outcomes = change.fenceOutcomes + (event.peer to event.outcome)
        reduction.put(group.copy(change = change.copy(unfenced = unfenced, fenceOutcomes = outcomes)))
        if (confirmed) PrimaryChanges.advance(reduction, group.name)
    }

    // Requests are repeated, so only an outcome that differs from the previous one is logged.
    private fun logAnswer(
        reduction: Reduction,
        group: GroupView,
        change: PrimaryChange,
        event: SessionEvent.PeerAnswered,
    ) {
        if (change.fenceOutcomes[event.peer] == event.outcome) return
        reduction.log(
            "fence answered",
            "group" to group.name,
            "epoch" to group.record?.epoch,
            "peer" to event.peer,
            "outcome" to event.outcome.description,
            "millis" to change.recordedAt?.let { (reduction.now - it).value },
        )
    }

    private fun logCompletion(reduction: Reduction, group: GroupView, change: PrimaryChange, reason: String) =
        reduction.log(
            "fencing completed",
            "group" to group.name,
            "epoch" to group.record?.epoch,
            "reason" to reason,
            "outcomes" to change.asked.joinToString(" ") { "$it=${change.fenceOutcomes[it]?.description}" },
            "unconfirmed" to change.unfenced.size,
            "millis" to change.recordedAt?.let { (reduction.now - it).value },
        )

    private fun requestFence(reduction: Reduction, group: GroupView, change: PrimaryChange) {
        val epoch = group.record?.epoch ?: return
        reduction.put(group.copy(change = change.copy(requestsSentAt = reduction.now)))
        val request = PeerRequest.Fence(group.name.value, epoch, change.reason.planned)
        change.unfenced.forEach { reduction.emit(SessionEffect.AskPeer(it, request)) }
    }
}
