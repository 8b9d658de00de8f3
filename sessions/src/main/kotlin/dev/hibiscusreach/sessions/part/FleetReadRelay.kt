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
 * Reads the fleet's records through a peer while the store turns this proxy away. A read that a peer sends after it was
 * asked shows at least what a read of this proxy would have shown when it asked, so it renews the lease just as well.
 */
internal object FleetReadRelay {
    /** Asks one of the peers that answered lately. */
    fun ask(turn: Reduction) {
        val fleet = turn.state.fleet
        val peers = PeerMonitoring.peers(turn).filter { (fleet.peers[it]?.misses ?: 0) == 0 }.sorted()
        if (!fleet.registered || peers.isEmpty()) return
        val peer = peers[fleet.nextPing % peers.size]
        turn.state = turn.state.copy(fleet = fleet.copy(nextPing = fleet.nextPing + 1))
        turn.emit(SessionEffect.AskPeer(peer, PeerRequest.ReadFleet(turn.now.millis)))
    }

    /** A peer asks for the records; it is answered after the next read. */
    fun asked(turn: Reduction, number: PeerRequestNumber) {
        val fleet = turn.state.fleet
        if (fleet.storeLost) {
            turn.emit(SessionEffect.AnswerPeer(number, PeerAnswer.StoreLost))
        } else {
            turn.state = turn.state.copy(fleet = fleet.copy(relays = fleet.relays + (number to turn.now)))
            LeaseRenewal.read(turn)
        }
    }

    /** Answers the peers that asked before a read which was sent at [sentAt]. */
    fun serve(turn: Reduction, sentAt: MonotonicTime) {
        val fleet = turn.state.fleet
        val (due, later) = fleet.relays.entries.partition { it.value <= sentAt }
        val answer = PeerAnswer.Fleet(fleet.records.mapKeys { it.key.value })
        due.forEach { turn.emit(SessionEffect.AnswerPeer(it.key, answer)) }
        turn.state = turn.state.copy(fleet = fleet.copy(relays = later.associate { it.key to it.value }))
    }

    /** The store is lost: peers that wait are told so. */
    fun refuse(turn: Reduction) {
        val fleet = turn.state.fleet
        fleet.relays.keys.forEach { turn.emit(SessionEffect.AnswerPeer(it, PeerAnswer.StoreLost)) }
        turn.state = turn.state.copy(fleet = fleet.copy(relays = emptyMap()))
    }

    /** Takes the records over that a peer has read. */
    fun answered(turn: Reduction, event: SessionEvent.PeerAnswered, request: PeerRequest.ReadFleet) {
        val answer = (event.outcome as? PeerOutcome.Answered)?.answer as? PeerAnswer.Fleet
        val fleet = turn.state.fleet
        val askedAt = MonotonicTime(request.askedAtMillis)
        if (answer == null || !fleet.storeLost) return
        val records = answer.records.mapKeys { FleetKey(it.key) }
        val registered = LeaseRenewal.isRegistered(turn, records)
        val leaseFrom = if (registered) maxOf(askedAt, fleet.leaseFrom ?: askedAt) else fleet.leaseFrom
        turn.log("lease renewed through peer", "peer" to event.peer, "registered" to registered)
        turn.state = turn.state.copy(fleet = fleet.copy(records = records, leaseFrom = leaseFrom))
        LeaseRenewal.adopt(turn, records)
    }
}
