package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.RetryAdvice
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.SessionReply
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.Session

/** Answers callers, and logs each answer with what decided it. */
internal object SessionReplies {
    /** Answers a statement that needed no server. */
    fun local(turn: Reduction, session: Session, identifier: String, reply: SessionReply) {
        if (reply !is SessionReply.Completed) {
            turn.log(
                "statement refused",
                "request" to identifier,
                "session" to session.number.value,
                "database" to session.database,
                "outcome" to outcome(reply),
            )
        }
        turn.count(SessionCounter.STATEMENTS, outcome(reply))
        turn.emit(SessionEffect.Reply(session.number, reply))
    }

    /** Answers the pending statement of [session], which has the state after the answer. */
    fun pending(turn: Reduction, session: Session, pending: PendingStatement, reply: SessionReply) {
        turn.put(session.copy(pending = null))
        val duration = turn.now - pending.arrivedAt
        logPending(turn, session, pending, reply)
        turn.count(SessionCounter.STATEMENTS, outcome(reply))
        turn.emit(SessionEffect.Observe(outcome(reply), duration))
        turn.emit(SessionEffect.Reply(session.number, reply))
    }

    /** A refusal of [kind] with the retry advice of its error kind. */
    fun refusal(turn: Reduction, session: Session, kind: ErrorKind, message: String): SessionReply.Refused {
        val requests = turn.settings.statements
        val retry =
            when (kind) {
                ErrorKind.NO_PRIMARY, ErrorKind.SERVER_UNREACHABLE -> requests.noPrimaryRetryAfter
                else -> requests.overloadRetryAfter.takeIf { kind.advice == RetryAdvice.AFTER_A_PAUSE }
            }
        return SessionReply.Refused(kind, message, session.transaction.status, retry)
    }

    private fun logPending(turn: Reduction, session: Session, pending: PendingStatement, reply: SessionReply) {
        val group = turn.group(pending.route.group)
        val connection = ConnectionCheckout.heldBy(pending)?.let { turn.state.connections[it] }
        turn.log(
            if (reply is SessionReply.Completed) "statement served" else "statement not served",
            "request" to pending.identifier,
            "session" to session.number.value,
            "database" to session.database,
            "statement" to if (pending.commits) "commit" else pending.access.name,
            "outcome" to outcome(reply),
            "reason" to (reply as? SessionReply.Refused)?.message,
            "server" to connection?.server,
            "attempts" to pending.attempts,
            "millis" to (turn.now - pending.arrivedAt).value,
            "configurationVersion" to turn.state.configuration?.version,
            "epoch" to group.record?.epoch,
            "headAgeMillis" to group.heads.lastOrNull()?.let { (turn.now - it.sentAt).value },
            "leaseAgeMillis" to turn.state.fleet.leaseFrom?.let { (turn.now - it).value },
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
