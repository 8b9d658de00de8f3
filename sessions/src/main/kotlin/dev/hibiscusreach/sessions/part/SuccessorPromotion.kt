package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.ServerStatus
import dev.hibiscusreach.sessions.state.ChangePhase
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange

/** The phases of a change of primary after fencing: chooses, promotes and publishes the successor. */
internal object SuccessorPromotion {
    /** Discards earlier statuses and the successor, and asks all servers of the group for their status. */
    fun inspectServers(reduction: Reduction, group: GroupView, change: PrimaryChange) {
        val inspecting = change.copy(statuses = emptyMap(), reportedSince = null, successor = null)
        val wait = StoreEras.remainingWait(reduction)
        if (wait.value > 0) reduction.log("promotion waits for earlier leases", "group" to group.name, "millis" to wait)
        SuccessorChoice.requestStatuses(
            reduction,
            PrimaryChanges.enterPhase(reduction, group, inspecting, ChangePhase.INSPECTING),
        )
    }

    /** Moves the change to its next phase if the current one is complete, or repeats its requests. */
    fun advance(reduction: Reduction, group: GroupView, change: PrimaryChange) {
        val elapsed = reduction.now - change.phaseSince
        when (change.phase) {
            ChangePhase.INSPECTING -> checkStatuses(reduction, group, change)
            ChangePhase.CATCHING_UP -> checkCatchUp(reduction, group, change)
            ChangePhase.RECORDING_SUCCESSOR -> SuccessorRecording.advance(reduction, group, change)
            ChangePhase.ACQUIRING -> PromoterLocking.advance(reduction, group, change)
            ChangePhase.PROMOTING ->
                if (elapsed > reduction.settings.changes.promotionTimeout) {
                    val unanswered = change.copy(mayHaveLed = change.mayHaveLed + setOfNotNull(change.successor))
                    PrimaryChanges.enterPhase(reduction, group, unanswered, ChangePhase.ACQUIRING)
                }
            ChangePhase.CONFIRMING -> checkConfirmation(reduction, group, change)
            ChangePhase.PUBLISHING ->
                if (PrimaryChanges.areRequestsDue(reduction, change)) {
                    ChangePublication.writeRecord(reduction, group, change)
                }
            ChangePhase.RECORDING, ChangePhase.FENCING -> Unit
        }
    }

    /** Handles the status of a server if its group's primary is being replaced. */
    fun handleStatus(reduction: Reduction, event: SessionEvent.ControlAnswered) {
        val group = reduction.state.server(event.server)?.let { reduction.group(it.group) }
        val change = group?.change
        val status = event.status
        if (change != null && status != null) {
            val statuses = change.statuses + (event.server to status)
            val reportedSince = change.reportedSince ?: reduction.now
            reduction.put(group.copy(change = change.copy(statuses = statuses, reportedSince = reportedSince)))
            PrimaryChanges.advance(reduction, group.name)
        }
    }

    private fun checkStatuses(reduction: Reduction, group: GroupView, change: PrimaryChange) {
        val record = group.record ?: return
        val newPrimary = LeadingServer.find(reduction, group, change)
        val incumbent = change.statuses[record.primary]
        val elapsed = reduction.now - change.phaseSince
        val allReported = reduction.servers(group.name).all { it.name in change.statuses }
        val isComplete = allReported || elapsed > reduction.settings.changes.statusTimeout
        val successor = SuccessorChoice.findSuccessor(reduction, group, change)
        val mayChoose = StoreEras.isSettled(reduction) && !OutstandingReports.mayArrive(reduction, group, change)
        when {
            record.afterRestoration && !isComplete -> requestDueStatuses(reduction, group, change)
            // Another server may lead already: the proxy that changed the primary before may have promoted it.
            newPrimary != null ->
                ChangePublication.publish(reduction, group, change, newPrimary.name, newPrimary.term)
            incumbent != null && isComplete && mayKeepPrimary(reduction, group, change, incumbent) ->
                ChangePublication.keepPrimary(reduction, group, change, incumbent)
            successor != null && isComplete && mayChoose ->
                acceptSuccessor(reduction, group, change, successor, incumbent)
            else -> requestDueStatuses(reduction, group, change)
        }
    }

    private fun requestDueStatuses(reduction: Reduction, group: GroupView, change: PrimaryChange) {
        if (PrimaryChanges.areRequestsDue(reduction, change)) SuccessorChoice.requestStatuses(reduction, group)
    }

    // A promotion that was requested may still replace the primary, or may have replaced it by a server that is gone.
    private fun mayKeepPrimary(
        reduction: Reduction,
        group: GroupView,
        change: PrimaryChange,
        incumbent: ServerStatus,
    ): Boolean {
        val mayBeReplaced =
            SuccessorRecording.outstanding(reduction, group, change) != null ||
                PossibleLeaders.of(reduction, group, change).isNotEmpty()
        val isLeading = incumbent.role == ServerRole.PRIMARY && IncumbentPromotion.isStaying(reduction, group)
        return isLeading && (change.primaryConfirmed || !mayBeReplaced)
    }

    private fun acceptSuccessor(
        reduction: Reduction,
        group: GroupView,
        change: PrimaryChange,
        successor: ServerName,
        incumbent: ServerStatus?,
    ) {
        val chosen = change.copy(successor = successor)
        val hasAllCommits = SuccessorChoice.hasAllCommits(reduction, group, change, successor)
        if (!hasAllCommits) reduction.log("successor may lack commits", "group" to group.name, level = LogLevel.ERROR)
        reduction.log(
            "successor chosen",
            "group" to group.name,
            "successor" to successor,
            "received" to change.statuses[successor]?.received,
            "incumbent" to incumbent?.received,
            "requestedBefore" to SuccessorRecording.outstanding(reduction, group, change),
        )
        if (SuccessorChoice.isIncumbentReporting(group, change)) {
            val next = PrimaryChanges.enterPhase(reduction, group, chosen, ChangePhase.CATCHING_UP)
            next.change?.let { advance(reduction, next, it) }
        } else {
            SuccessorRecording.start(reduction, group, chosen)
        }
    }

    private fun checkCatchUp(reduction: Reduction, group: GroupView, change: PrimaryChange) {
        val successor = change.successor ?: return
        val record = group.record ?: return
        val newPrimary = LeadingServer.find(reduction, group, change)
        val received = change.statuses[successor]?.received
        val incumbent = change.statuses[record.primary]
        val isLate = reduction.now - change.phaseSince > reduction.settings.changes.catchUpTimeout
        val mayBeReplaced = SuccessorRecording.outstanding(reduction, group, change) != null
        when {
            newPrimary != null ->
                ChangePublication.publish(reduction, group, change, newPrimary.name, newPrimary.term)
            received != null && incumbent != null && received >= incumbent.received || isLate && mayBeReplaced ->
                SuccessorRecording.start(reduction, group, change)
            isLate && PossibleLeaders.of(reduction, group, change).isNotEmpty() ->
                SuccessorRecording.start(reduction, group, change.copy(successor = record.primary))
            isLate -> incumbent?.let { ChangePublication.keepPrimary(reduction, group, change, it) }
            isPollDue(reduction, change) -> SuccessorChoice.requestStatuses(reduction, group)
        }
    }

    private fun checkConfirmation(reduction: Reduction, group: GroupView, change: PrimaryChange) {
        val successor = change.successor ?: return
        val record = group.record ?: return
        val status = change.statuses[successor]?.takeIf { it.role == ServerRole.PRIMARY }
        val isLate = reduction.now - change.phaseSince > reduction.settings.changes.promotionTimeout
        when {
            status != null && status.term > record.term ->
                ChangePublication.publish(reduction, group, change, successor, status.term)
            isLate -> {
                // An accepted request has no effect on a server that leads for the platform as well.
                val isConfirmed = successor == record.primary && change.promotionAccepted
                inspectServers(reduction, group, change.copy(primaryConfirmed = isConfirmed))
            }
            isPollDue(reduction, change) -> SuccessorChoice.requestStatuses(reduction, group)
        }
    }

    // Polls more often than requestPeriod while the change waits only for a server's progress.
    private fun isPollDue(reduction: Reduction, change: PrimaryChange): Boolean =
        reduction.now - (change.requestsSentAt ?: change.phaseSince) >= reduction.settings.changes.checkPeriod
}
