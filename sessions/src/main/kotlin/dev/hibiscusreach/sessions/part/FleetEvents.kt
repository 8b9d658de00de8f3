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
    fun handle(turn: Reduction, event: SessionEvent) {
        when (event) {
            is SessionEvent.FleetRead -> LeaseRenewal.read(turn, event)
            is SessionEvent.FleetReadFailed -> LeaseRenewal.unreadable(turn, event)
            is SessionEvent.FleetWritten -> written(turn, event.key, event.outcome)
            is SessionEvent.PeerAsked -> asked(turn, event.number, event.request)
            is SessionEvent.PeerAnswered -> answered(turn, event)
            is SessionEvent.ControlAnswered -> control(turn, event)
            is SessionEvent.PromotionAnswered -> PromoterLocking.answered(turn, event)
            else -> Unit
        }
    }

    private fun written(turn: Reduction, key: FleetKey, outcome: WriteOutcome) {
        val group = turn.state.groups.keys.find { FleetKey.group(it) == key }
        when {
            key == FleetKey.PROMOTER -> PromoterLocking.written(turn, outcome)
            group != null -> PrimaryChanges.written(turn, group, outcome)
            else -> LeaseRenewal.written(turn, key, outcome)
        }
    }

    private fun asked(turn: Reduction, number: PeerRequestNumber, request: PeerRequest) =
        when (request) {
            is PeerRequest.Fence -> PrimaryFencing.asked(turn, number, request)
            is PeerRequest.Sighting -> {
                val age = turn.health(request.server).answeredAt?.let { (turn.now - it).value }
                turn.emit(SessionEffect.AnswerPeer(number, PeerAnswer.Seen(age)))
            }
            is PeerRequest.ReadFleet -> FleetReadRelay.asked(turn, number)
            PeerRequest.Ping -> {
                val answer = if (turn.state.fleet.storeLost) PeerAnswer.StoreLost else PeerAnswer.Done
                turn.emit(SessionEffect.AnswerPeer(number, answer))
            }
            is PeerRequest.Publish -> {
                GroupRecordAdoption.adopt(turn, GroupName(request.record.group), request.record, request.revision)
                turn.emit(SessionEffect.AnswerPeer(number, PeerAnswer.Done))
            }
        }

    private fun answered(turn: Reduction, event: SessionEvent.PeerAnswered) {
        when (val request = event.request) {
            is PeerRequest.Fence -> ChangeFencing.fenced(turn, event, request)
            is PeerRequest.Sighting -> PrimaryFailureDetection.reported(turn, event, request)
            is PeerRequest.ReadFleet -> FleetReadRelay.answered(turn, event, request)
            PeerRequest.Ping -> {
                PeerMonitoring.answered(turn, event)
                ChangeTakeover.changerAnswered(turn, event)
            }
            is PeerRequest.Publish -> Unit
        }
    }

    private fun control(turn: Reduction, event: SessionEvent.ControlAnswered) {
        val asksStatus = event.command is ControlRequest.Status || event.command is ControlRequest.Pause
        if (asksStatus && !GroupMonitoring.statusOfFirst(turn, event)) SuccessorPromotion.reported(turn, event)
    }
}
