package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.event.ControlRequest
import dev.hibiscusreach.sessions.event.PeerRequestNumber
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.PeerAnswer
import dev.hibiscusreach.sessions.model.PeerRequest
import dev.hibiscusreach.sessions.model.Revision

/** Dispatches events about fleet records, peers and server control to their handlers. */
internal object FleetEvents {
    /** Handles [event]; events of other kinds are ignored. */
    fun handle(reduction: Reduction, event: SessionEvent) {
        when (event) {
            is SessionEvent.FleetRead -> LeaseRenewal.read(reduction, event)
            is SessionEvent.FleetReadFailed -> LeaseRenewal.readFailed(reduction, event)
            is SessionEvent.FleetWritten -> recordWritten(reduction, event)
            is SessionEvent.PeerAsked -> peerAsked(reduction, event.number, event.request)
            is SessionEvent.PeerAnswered -> peerAnswered(reduction, event)
            is SessionEvent.StatementForwarded -> ForwardedArrivals.arrived(reduction, event)
            is SessionEvent.ForwardAnswered -> ForwardOutcomes.answered(reduction, event)
            is SessionEvent.HomeLinkLost -> {
                ForwardOutcomes.linkLost(reduction, event)
                TokenExchange.linkLost(reduction, event.home)
            }
            is SessionEvent.ControlAnswered -> controlAnswered(reduction, event)
            is SessionEvent.PromotionAnswered -> PromoterLocking.handlePromotionOutcome(reduction, event)
            else -> handleExchange(reduction, event)
        }
    }

    private fun handleExchange(reduction: Reduction, event: SessionEvent) {
        when (event) {
            is SessionEvent.AllowanceRequested -> AllowanceOwnership.requested(reduction, event)
            is SessionEvent.AllowanceAnswered -> TokenExchange.answered(reduction, event)
            is SessionEvent.PositionRequested -> PositionSharing.requested(reduction, event)
            is SessionEvent.PositionReported -> PositionSharing.reported(reduction, event)
            else -> Unit
        }
    }

    private fun recordWritten(reduction: Reduction, event: SessionEvent.FleetWritten) {
        val group = reduction.state.groups.keys.find { FleetKey.group(it) == event.key }
        when {
            event.key == FleetKey.PROMOTER -> PromoterLocking.handleWriteOutcome(reduction, event)
            group != null -> PrimaryChanges.handleWriteOutcome(reduction, group, event)
            else -> LeaseRenewal.written(reduction, event)
        }
    }

    private fun peerAsked(reduction: Reduction, number: PeerRequestNumber, request: PeerRequest) =
        when (request) {
            is PeerRequest.Fence -> PrimaryFencing.handleFenceRequest(reduction, number, request)
            is PeerRequest.Sighting -> Sightings.requested(reduction, number, request.server)
            is PeerRequest.ReadFleet -> FleetReadRelay.readRequested(reduction, number)
            PeerRequest.Ping -> {
                val answer = if (reduction.state.fleet.storeLost) PeerAnswer.StoreLost else PeerAnswer.Done
                reduction.emit(SessionEffect.AnswerPeer(number, answer))
            }
            is PeerRequest.Publish -> {
                val revision = Revision(request.revision, request.record.era)
                GroupRecordAdoption.adopt(reduction, GroupName(request.record.group), request.record, revision)
                reduction.emit(SessionEffect.AnswerPeer(number, PeerAnswer.Done))
            }
        }

    private fun peerAnswered(reduction: Reduction, event: SessionEvent.PeerAnswered) {
        when (val request = event.request) {
            is PeerRequest.Fence -> ChangeFencing.handleFenceAnswer(reduction, event, request)
            is PeerRequest.Sighting -> PrimaryFailureDetection.sightingAnswered(reduction, event, request)
            PeerRequest.Ping -> {
                PeerMonitoring.pingAnswered(reduction, event)
                ChangeTakeover.handleChangerAnswer(reduction, event)
            }
            is PeerRequest.ReadFleet, is PeerRequest.Publish -> Unit
        }
    }

    private fun controlAnswered(reduction: Reduction, event: SessionEvent.ControlAnswered) {
        if (event.status != null && TenantPools.apply(reduction)) {
            ServerHealthTracking.recordAnswer(reduction, event.server)
        }
        val returnsStatus = event.command is ControlRequest.Status || event.command is ControlRequest.Pause
        if (event.command is ControlRequest.StepDown) StepDownRequests.handleAnswer(reduction, event)
        if (returnsStatus && !GroupMonitoring.initialStatusAnswered(reduction, event)) {
            SuccessorPromotion.handleStatus(reduction, event)
        }
    }
}
