package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis

/** Delivers a verified answer. */
internal fun Turn.deliver(request: PendingRequest, phase: RequestPhase.Verifying) {
    when (val answer = phase.answer) {
        is SessionAnswer.Done -> {
            val recorded = (request.work as? Work.Resolve)?.recorded
            if (recorded == null) complete(request, phase, answer) else route(keep(request.copy(work = recorded)))
        }

        is SessionAnswer.Cancelled ->
            refuseAsSettled(request, ErrorKind.REQUEST_CANCELLED, "the request did not run and never will")

        else -> refuse(request, ErrorKind.FUTURE_TOKEN, "the session token is ahead of the database")
    }
}

private fun Turn.complete(request: PendingRequest, phase: RequestPhase.Verifying, answer: SessionAnswer.Done) {
    val work = request.work
    if (work is Work.Read) countRead(answer)
    if (work is Work.Run) release(work.transaction)
    reply(
        request,
        CallerAnswer.Completed(
            results = answer.results,
            session = request.request.session.including(request.database, answer.position),
            server = phase.server,
            position = answer.position,
            transaction = (work as? Work.Run)?.transaction,
            replayed = answer.replayed,
            ageMillis = if (work is Work.Read) age(request, phase, answer).value else null,
        ),
    )
}

private fun Turn.countRead(answer: SessionAnswer.Done) {
    val role =
        when (answer.status.role) {
            ServerRole.PRIMARY -> "primary"
            ServerRole.REPLICA -> "replica"
        }
    count(CounterName.READS_BY_ROLE, role)
}

private fun Turn.age(request: PendingRequest, phase: RequestPhase.Verifying, answer: SessionAnswer.Done): Millis {
    val group = group(request.database)
    val verifiedAt = if (phase.leadershipConfirmed) phase.sentAt else group.leadershipVerifiedAt
    val ledAt = verifiedAt?.takeIf { phase.server == group.primary }?.let { minOf(it, phase.sentAt) }
    val ages = listOfNotNull(ledAt?.let { now - it }, group.ageOf(answer.position, now))
    return ages.minOrNull() ?: Millis(0)
}

/** Goes on after the term changed or the wait ran out before the answer in [phase] could be relied on. */
internal fun Turn.verificationFailed(request: PendingRequest, phase: RequestPhase.Verifying) {
    val work = request.work
    when {
        work is Work.Run -> {
            endTransaction(work.transaction, ConnectionCondition.DOUBTFUL)
            refuseAsSettled(request, ErrorKind.TRANSACTION_ENDED, "the primary was replaced; nothing was committed")
        }

        phase.answer is SessionAnswer.Behind || work is Work.Read ->
            tryAgain(
                request.copy(avoidedServers = request.avoidedServers + phase.server, replicaWaitOver = true),
                reason = "unverified",
                kind = ErrorKind.NO_PRIMARY,
                message = "no majority confirms the answer of server '${phase.server}'",
            )

        else -> attemptLost(request, work, "durability")
    }
}
