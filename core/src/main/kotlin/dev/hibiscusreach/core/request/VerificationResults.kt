package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis

/** Delivers the verified answer in [phase] to the origin of [request]. */
internal fun StepBuilder.deliver(request: PendingRequest, phase: RequestPhase.Verifying) {
    when (val answer = phase.answer) {
        is SessionAnswer.Done -> {
            val recorded = (request.operation as? Operation.Resolve)?.recorded
            if (recorded == null) complete(request, phase, answer) else route(store(request.copy(operation = recorded)))
        }

        is SessionAnswer.Cancelled ->
            refuseDefinitively(request, ErrorKind.REQUEST_CANCELLED, "the request did not run and never will")

        else -> refuse(request, ErrorKind.FUTURE_TOKEN, "the session token is ahead of the database")
    }
}

private fun StepBuilder.complete(request: PendingRequest, phase: RequestPhase.Verifying, answer: SessionAnswer.Done) {
    val operation = request.operation
    if (operation is Operation.Read) countRead(answer)
    if (operation is Operation.Run) releaseTransaction(operation.transaction)
    reply(
        request,
        CallerAnswer.Completed(
            results = answer.results,
            session = request.request.session.including(request.database, answer.position),
            server = phase.server,
            position = answer.position,
            transaction = (operation as? Operation.Run)?.transaction,
            replayed = answer.replayed,
            ageMillis = if (operation is Operation.Read) age(request, phase, answer).value else null,
        ),
    )
}

private fun StepBuilder.countRead(answer: SessionAnswer.Done) {
    val role =
        when (answer.status.role) {
            ServerRole.PRIMARY -> "primary"
            ServerRole.REPLICA -> "replica"
        }
    count(CounterName.READS_BY_ROLE, role)
}

private fun StepBuilder.age(
    request: PendingRequest,
    phase: RequestPhase.Verifying,
    answer: SessionAnswer.Done,
): Millis {
    val group = group(request.database)
    val verifiedAt = if (phase.leadershipConfirmed) phase.sentAt else group.leadershipVerifiedAt
    val ledAt = verifiedAt?.takeIf { phase.server == group.primary }?.let { minOf(it, phase.sentAt) }
    val ages = listOfNotNull(ledAt?.let { now - it }, group.ageOf(answer.position, now))
    return ages.minOrNull() ?: Millis(0)
}

/** Retries or resolves after the term changed or the wait timed out before the answer in [phase] was verified. */
internal fun StepBuilder.handleUnverifiedAnswer(request: PendingRequest, phase: RequestPhase.Verifying) {
    val operation = request.operation
    when {
        operation is Operation.Run -> {
            endTransaction(operation.transaction, ConnectionCondition.DOUBTFUL)
            refuseDefinitively(request, ErrorKind.TRANSACTION_ENDED, "the primary was replaced; nothing was committed")
        }

        phase.answer is SessionAnswer.Behind || operation is Operation.Read ->
            retry(
                request.copy(avoidedServers = request.avoidedServers + phase.server, replicaWaitOver = true),
                reason = "unverified",
                kind = ErrorKind.NO_PRIMARY,
                message = "no majority confirms the answer of server '${phase.server}'",
            )

        else -> handleLostAnswer(request, operation, "durability")
    }
}
