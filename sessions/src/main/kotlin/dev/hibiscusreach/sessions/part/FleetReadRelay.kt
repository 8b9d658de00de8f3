package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.event.PeerRequestNumber
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.PeerAnswer

/** Reads the store on behalf of peers that ask for the fleet records with a request of its own. */
internal object FleetReadRelay {
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
}
