package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.RetryAdvice
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.model.ForwardedAnswer
import dev.hibiscusreach.sessions.model.SessionReply
import dev.hibiscusreach.sessions.model.TransactionStatus
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.Session

/** Answers callers, and logs each answer with the state that led to it. */
internal object SessionReplies {
    /** Answers a statement that needed no server. Only refusals are logged. */
    fun answerLocally(reduction: Reduction, session: Session, identifier: String, reply: SessionReply) {
        if (reply !is SessionReply.Completed) {
            reduction.log(
                "statement refused",
                "request" to identifier,
                "session" to session.number.value,
                "database" to session.database,
                "outcome" to outcome(reply),
            )
        }
        reduction.count(SessionCounter.STATEMENTS, outcome(reply))
        emitReply(reduction, session, reply)
    }

    /** Answers a statement of a session that is closed. */
    fun answerClosed(reduction: Reduction, session: SessionNumber, identifier: String, reply: SessionReply) {
        reduction.log(
            "statement refused",
            "request" to identifier,
            "session" to session.value,
            "outcome" to outcome(reply),
            "reason" to "the session is closed",
        )
        reduction.count(SessionCounter.STATEMENTS, outcome(reply))
        reduction.emit(SessionEffect.Reply(session, reply))
    }

    /** Answers the pending statement of [session]; [session] is already in its state after the answer. */
    fun answerPending(reduction: Reduction, session: Session, pending: PendingStatement, reply: SessionReply) {
        reduction.put(session.copy(pending = null, idleSince = reduction.now))
        val duration = reduction.now - pending.arrivedAt
        logPending(reduction, session, pending, reply)
        reduction.count(SessionCounter.STATEMENTS, outcome(reply))
        reduction.emit(SessionEffect.Observe(outcome(reply), duration))
        emitReply(reduction, session, reply)
    }

    /** A refusal with the retry delay that fits [kind]. */
    fun refusal(reduction: Reduction, session: Session, kind: ErrorKind, message: String): SessionReply.Refused {
        val limits = reduction.settings.statements
        val retry =
            when (kind) {
                ErrorKind.NO_PRIMARY, ErrorKind.SERVER_UNREACHABLE -> limits.noPrimaryRetryAfter
                else -> limits.overloadRetryAfter.takeIf { kind.advice == RetryAdvice.AFTER_A_PAUSE }
            }
        val advice = retry?.let { RetrySpread.spread(reduction, session, kind, it) }
        return SessionReply.Refused(kind, message, session.transaction.status, advice)
    }

    // A forwarded session is only kept between the statements of a transaction.
    private fun emitReply(reduction: Reduction, session: Session, reply: SessionReply) {
        if (session.isForwarded) {
            val answer = ForwardedAnswer.Replied(reply, session.lastCommit?.position)
            reduction.emit(SessionEffect.AnswerForwarded(session.number, answer))
            if (reply.status != TransactionStatus.OPEN) reduction.remove(session)
        } else {
            reduction.emit(SessionEffect.Reply(session.number, reply))
        }
    }

    private fun logPending(reduction: Reduction, session: Session, pending: PendingStatement, reply: SessionReply) {
        val group = reduction.group(pending.route.group)
        val connection = ConnectionCheckout.connectionOf(pending)?.let { reduction.state.connections[it] }
        reduction.log(
            if (reply is SessionReply.Completed) "statement served" else "statement not served",
            "request" to pending.identifier,
            "session" to session.number.value,
            "database" to session.database,
            "tenant" to pending.tenant,
            "statement" to if (pending.commits) "commit" else pending.access.name,
            "outcome" to outcome(reply),
            "reason" to (reply as? SessionReply.Refused)?.message,
            "server" to connection?.server,
            "home" to (pending.phase as? PendingStatement.Phase.Forwarded)?.home,
            "forwarded" to session.isForwarded.takeIf { it },
            "attempts" to pending.attempts,
            "millis" to (reduction.now - pending.arrivedAt).value,
            "configurationVersion" to reduction.state.configuration?.version,
            "epoch" to group.record?.epoch,
            "headAgeMillis" to group.heads.lastOrNull()?.let { (reduction.now - it.sentAt).value },
            "leaseAgeMillis" to reduction.state.fleet.leaseFrom?.let { (reduction.now - it).value },
            level = LogLevel.INFO,
        )
    }

    private fun outcome(reply: SessionReply): String =
        when (reply) {
            is SessionReply.Completed -> "completed"
            is SessionReply.Refused -> reply.kind.label
            is SessionReply.ServerFailed -> "server-${reply.code}"
        }
}
