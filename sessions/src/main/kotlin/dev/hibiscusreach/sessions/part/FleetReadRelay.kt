package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.event.PeerOutcome
import dev.hibiscusreach.sessions.event.PeerRequestNumber
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.PeerAnswer
import dev.hibiscusreach.sessions.model.PeerRequest

/**
 * Reads the fleet records through a peer while this proxy cannot read the store. A read that a peer sends after the
 * request is at least as recent as a read that this proxy had sent at the time of the request, so it renews the lease
 * from that time.
 */
internal object FleetReadRelay {
    /** Requests the fleet records from a peer that answered its latest ping. */
    fun requestRead(reduction: Reduction) {
        val fleet = reduction.state.fleet
        val peers = PeerMonitoring.peers(reduction).filter { (fleet.peers[it]?.misses ?: 0) == 0 }.sorted()
        if (!fleet.registered || peers.isEmpty()) return
        val peer = peers[fleet.nextPing % peers.size]
        reduction.state = reduction.state.copy(fleet = fleet.copy(nextPing = fleet.nextPing + 1))
        reduction.emit(SessionEffect.AskPeer(peer, PeerRequest.ReadFleet(reduction.now.millis)))
    }

    /** Handles a request of a peer for the records, which is answered after the next read. */
    fun readRequested(reduction: Reduction, number: PeerRequestNumber) {
        val fleet = reduction.state.fleet
        if (fleet.storeLost) {
            reduction.emit(SessionEffect.AnswerPeer(number, PeerAnswer.StoreLost))
        } else {
            reduction.state =
                reduction.state.copy(fleet = fleet.copy(relays = fleet.relays + (number to reduction.now)))
            LeaseRenewal.read(reduction)
        }
    }

    /** Answers the peers whose requests arrived no later than [sentAt], when the completed read was sent. */
    fun answerWaiting(reduction: Reduction, sentAt: MonotonicTime) {
        val fleet = reduction.state.fleet
        val (due, later) = fleet.relays.entries.partition { it.value <= sentAt }
        val answer = PeerAnswer.Fleet(fleet.records.mapKeys { it.key.value })
        due.forEach { reduction.emit(SessionEffect.AnswerPeer(it.key, answer)) }
        reduction.state = reduction.state.copy(fleet = fleet.copy(relays = later.associate { it.key to it.value }))
    }

    /** Answers all waiting peers that the store is lost. */
    fun refuseWaiting(reduction: Reduction) {
        val fleet = reduction.state.fleet
        fleet.relays.keys.forEach { reduction.emit(SessionEffect.AnswerPeer(it, PeerAnswer.StoreLost)) }
        reduction.state = reduction.state.copy(fleet = fleet.copy(relays = emptyMap()))
    }

    /** Adopts the records that a peer has read; ignored if the store is reachable again. */
    fun readAnswered(reduction: Reduction, event: SessionEvent.PeerAnswered, request: PeerRequest.ReadFleet) {
        val answer = (event.outcome as? PeerOutcome.Answered)?.answer as? PeerAnswer.Fleet
        val fleet = reduction.state.fleet
        val askedAt = MonotonicTime(request.askedAtMillis)
        if (answer == null || !fleet.storeLost) return
        val records = answer.records.mapKeys { FleetKey(it.key) }
        val registered = LeaseRenewal.isRegistered(reduction, records)
        val leaseFrom = if (registered) maxOf(askedAt, fleet.leaseFrom ?: askedAt) else fleet.leaseFrom
        reduction.log("lease renewed through peer", "peer" to event.peer, "registered" to registered)
        reduction.state = reduction.state.copy(fleet = fleet.copy(records = records, leaseFrom = leaseFrom))
        LeaseRenewal.adopt(reduction, records)
    }
}
