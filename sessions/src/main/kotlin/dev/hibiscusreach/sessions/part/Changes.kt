package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.sessions.event.PeerOutcome
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.WriteOutcome
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.state.ChangePhase
import dev.hibiscusreach.sessions.state.ChangeReason
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.PrimaryChange

/**
 * Carries out changes of primaries. The intent is recorded in the store first; then every proxy confirms that it has
 * stopped using the primary, or its lease ends; then the successor is chosen, promoted and recorded. A proxy that
 * continues a change of another one starts with an intent of its own, so that the earlier one stops.
 */
internal object Changes {
    /** Records the intent to replace the group's primary. */
    fun begin(turn: Turn, name: GroupName, reason: ChangeReason) {
        val group = turn.group(name)
        val record = group.record ?: return
        val intent = record.copy(epoch = record.epoch + 1, changedBy = turn.state.place.identity)
        turn.log(
            "primary change begins",
            "group" to name,
            "primary" to record.primary,
            "reason" to reason.description,
            "epoch" to intent.epoch,
            "revision" to group.revision,
        )
        turn.count(SessionCounter.PRIMARY_CHANGES, "begun")
        turn.put(group.copy(suspicion = null, change = PrimaryChange(reason, ChangePhase.RECORDING, turn.now)))
        turn.emit(SessionEffect.WriteFleet(FleetKey.group(name), intent, group.revision))
    }

    fun written(turn: Turn, name: GroupName, outcome: WriteOutcome) {
        val group = turn.group(name)
        val change = group.change
        when {
            outcome !is WriteOutcome.Written -> Leases.read(turn)
            change?.phase == ChangePhase.RECORDING -> recorded(turn, group, change, outcome.revision)
            change?.phase == ChangePhase.PUBLISHING -> published(turn, group, change, outcome.revision)
            // The first record of a group, or a write that an earlier change has left behind.
            else -> Leases.read(turn)
        }
    }

    /** Advances the group's change, or continues one that another proxy has left. */
    fun review(turn: Turn, name: GroupName) {
        val group = turn.group(name)
        val record = group.record ?: return
        val change = group.change
        when {
            change == null && record.changedBy == turn.state.place.identity -> resume(turn, group)
            change == null && record.changedBy != null -> watch(turn, group, record)
            change == null -> Unit
            change.phase == ChangePhase.RECORDING -> reviewRecording(turn, group, change)
            change.phase == ChangePhase.FENCING -> reviewFencing(turn, group, change)
            else -> Successions.review(turn, group, change)
        }
    }

    /** Handles a peer's answer to a fence request. */
    fun fenced(turn: Turn, event: SessionEvent.PeerAnswered, request: PeerRequest.Fence) {
        val group = turn.group(GroupName(request.group))
        val change = group.change ?: return
        val confirmed = event.outcome !is PeerOutcome.Silent
        if (confirmed && change.phase == ChangePhase.FENCING && group.record?.epoch == request.epoch) {
            val next = group.copy(change = change.copy(unfenced = change.unfenced - event.peer))
            turn.put(next)
            review(turn, group.name)
        }
    }

    /** Handles the answer to the question whether the proxy that changes a primary still runs. */
    fun changerSeen(turn: Turn, event: SessionEvent.PeerAnswered) {
        if (event.outcome !is PeerOutcome.NotRunning) return
        for (group in turn.state.groups.values) {
            val changer = group.record?.changedBy ?: continue
            if (group.change == null && endpoint(turn, changer.node) == event.peer) {
                begin(turn, group.name, ChangeReason.ABANDONED)
            }
        }
    }

    /** Moves a change to [phase]. */
    fun enter(turn: Turn, group: GroupView, change: PrimaryChange, phase: ChangePhase): GroupView {
        turn.log("primary change", "group" to group.name, "phase" to phase.name, "epoch" to group.record?.epoch)
        val next = group.copy(change = change.copy(phase = phase, phaseSince = turn.now, repeatedAt = null))
        turn.put(next)
        return next
    }

    private fun recorded(turn: Turn, group: GroupView, change: PrimaryChange, revision: Long) {
        val record = group.record ?: return
        val intent = record.copy(epoch = record.epoch + 1, changedBy = turn.state.place.identity)
        turn.put(group.copy(record = intent, revision = revision, adoptedAt = turn.now))
        startFencing(turn, turn.group(group.name), change)
    }

    private fun resume(turn: Turn, group: GroupView) =
        startFencing(turn, group, PrimaryChange(ChangeReason.ABANDONED, ChangePhase.RECORDING, turn.now))

    private fun startFencing(turn: Turn, group: GroupView, change: PrimaryChange) {
        val epoch = group.record?.epoch ?: return
        val fencing = change.copy(recordedAt = turn.now, unfenced = Suspicions.peers(turn))
        enter(turn, group, fencing, ChangePhase.FENCING)
        Fences.raise(turn, group.name, epoch, change.reason.planned)
        review(turn, group.name)
    }

    private fun reviewRecording(turn: Turn, group: GroupView, change: PrimaryChange) {
        if (turn.now - change.phaseSince < turn.settings.changes.takeover) return
        turn.put(group.copy(change = null, changeAfter = turn.now + turn.settings.changes.pause))
        Leases.read(turn)
    }

    private fun reviewFencing(turn: Turn, group: GroupView, change: PrimaryChange) {
        val settled = group.fence?.settled ?: true
        val leasesOver =
            change.recordedAt?.let { turn.now > it + turn.settings.leases.duration } ?: false
        when {
            settled && change.unfenced.isEmpty() -> Successions.inspect(turn, group, change)
            settled && leasesOver -> {
                expel(turn, change.unfenced)
                Successions.inspect(turn, group, change)
            }
            isDue(turn, change) -> askForFence(turn, group, change)
        }
    }

    private fun askForFence(turn: Turn, group: GroupView, change: PrimaryChange) {
        val epoch = group.record?.epoch ?: return
        turn.put(group.copy(change = change.copy(repeatedAt = turn.now)))
        val request = PeerRequest.Fence(group.name.value, epoch, change.reason.planned)
        change.unfenced.forEach { turn.emit(SessionEffect.AskPeer(it, request)) }
    }

    // A proxy whose lease has ended must register again before it may use primaries.
    private fun expel(turn: Turn, peers: Set<Endpoint>) {
        for ((key, stored) in turn.state.fleet.records) {
            val proxy = stored.record as? FleetRecord.Proxy ?: continue
            if (proxy.peerEndpoint in peers) {
                turn.log("proxy expelled", "node" to proxy.identity.node, "revision" to stored.revision)
                turn.emit(SessionEffect.DeleteFleet(key, stored.revision))
            }
        }
    }

    private fun published(turn: Turn, group: GroupView, change: PrimaryChange, revision: Long) {
        val record = change.published ?: return
        GroupRecords.adopt(turn, group.name, record, revision)
        turn.count(SessionCounter.PRIMARY_CHANGES, "completed")
        val request = PeerRequest.Publish(record, revision)
        Suspicions.peers(turn).forEach { turn.emit(SessionEffect.AskPeer(it, request)) }
        turn.put(turn.group(group.name).copy(changeAfter = turn.now + turn.settings.changes.pause))
    }

    private fun watch(turn: Turn, group: GroupView, record: FleetRecord.Group) {
        val changes = turn.settings.changes
        val since = group.adoptedAt ?: turn.now
        val rank = Ranks.own(turn, group.name) ?: return
        val waited = turn.now - since
        val askedAt = group.changerAskedAt ?: since
        when {
            turn.state.fleet.lost || turn.state.stoppingSince != null -> Unit
            waited > changes.takeover + changes.rankDelay * rank -> begin(turn, group.name, ChangeReason.ABANDONED)
            turn.now - askedAt > changes.takeoverCheck + changes.rankDelay * rank -> {
                turn.put(group.copy(changerAskedAt = turn.now))
                val changer = record.changedBy?.let { endpoint(turn, it.node) }
                changer?.let { turn.emit(SessionEffect.AskPeer(it, PeerRequest.Sighting(record.primary))) }
                Leases.read(turn)
            }
        }
    }

    private fun endpoint(turn: Turn, node: String): Endpoint? =
        (turn.state.fleet.records[FleetKey.proxy(node)]?.record as? FleetRecord.Proxy)?.peerEndpoint

    /** Whether the requests of the present phase are to be repeated. */
    fun isDue(turn: Turn, change: PrimaryChange): Boolean =
        change.repeatedAt?.let { turn.now - it >= turn.settings.changes.repeat } ?: true
}
