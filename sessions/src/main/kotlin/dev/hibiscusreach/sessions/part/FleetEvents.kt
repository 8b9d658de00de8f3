package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.event.ControlRequest
import dev.hibiscusreach.sessions.event.PeerRequestNumber
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.WriteOutcome
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.PeerAnswer
import dev.hibiscusreach.sessions.model.PeerRequest

/** Hands events about the fleet, its records and its peers to the parts that they concern. */
internal object FleetEvents {
    fun handle(turn: Turn, event: SessionEvent) {
        when (event) {
            is SessionEvent.FleetRead -> Leases.read(turn, event)
            is SessionEvent.FleetUnreadable -> Leases.unreadable(turn, event)
            is SessionEvent.FleetWritten -> written(turn, event.key, event.outcome)
            is SessionEvent.PeerAsked -> asked(turn, event.number, event.request)
            is SessionEvent.PeerAnswered -> answered(turn, event)
            is SessionEvent.ControlAnswered -> control(turn, event)
            is SessionEvent.PromotionAnswered -> Duties.answered(turn, event)
            else -> Unit
        }
    }

    private fun written(turn: Turn, key: FleetKey, outcome: WriteOutcome) {
        val group = turn.state.groups.keys.find { FleetKey.group(it) == key }
        when {
            key == FleetKey.PROMOTER -> Duties.written(turn, outcome)
            group != null -> Changes.written(turn, group, outcome)
            else -> Leases.written(turn, key, outcome)
        }
    }

    private fun asked(turn: Turn, number: PeerRequestNumber, request: PeerRequest) =
        when (request) {
            is PeerRequest.Fence -> Fences.asked(turn, number, request)
            is PeerRequest.Sighting -> {
                val age = turn.health(request.server).answeredAt?.let { (turn.now - it).value }
                turn.emit(SessionEffect.AnswerPeer(number, PeerAnswer.Seen(age)))
            }
            is PeerRequest.ReadFleet -> Relays.asked(turn, number)
            PeerRequest.Ping -> {
                val answer = if (turn.state.fleet.lost) PeerAnswer.StoreLost else PeerAnswer.Done
                turn.emit(SessionEffect.AnswerPeer(number, answer))
            }
            is PeerRequest.Publish -> {
                GroupRecords.adopt(turn, GroupName(request.record.group), request.record, request.revision)
                turn.emit(SessionEffect.AnswerPeer(number, PeerAnswer.Done))
            }
        }

    private fun answered(turn: Turn, event: SessionEvent.PeerAnswered) {
        when (val request = event.request) {
            is PeerRequest.Fence -> ChangeFencing.fenced(turn, event, request)
            is PeerRequest.Sighting -> Suspicions.reported(turn, event, request)
            is PeerRequest.ReadFleet -> Relays.answered(turn, event, request)
            PeerRequest.Ping -> {
                Members.answered(turn, event)
                AbandonedChanges.changerAnswered(turn, event)
            }
            is PeerRequest.Publish -> Unit
        }
    }

    private fun control(turn: Turn, event: SessionEvent.ControlAnswered) {
        val asksStatus = event.command is ControlRequest.Status || event.command is ControlRequest.Pause
        if (asksStatus && !GroupReviews.statusOfFirst(turn, event)) Successions.reported(turn, event)
    }
}
