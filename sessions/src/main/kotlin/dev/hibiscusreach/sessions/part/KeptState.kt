package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.CallerStatement
import dev.hibiscusreach.sessions.model.PreparedStatement
import dev.hibiscusreach.sessions.model.SessionReply
import dev.hibiscusreach.sessions.state.KeptSettings
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.SessionProxyState

/** Whether a session may keep what its caller wants to set. */
internal sealed interface KeptDecision {
    /** The session with the change. */
    data class Accepted(val session: Session) : KeptDecision

    /** The statement is refused; [label] names the limit in metrics. */
    data class Refused(val kind: ErrorKind, val reason: String, val label: String) : KeptDecision
}

/** Bounds the values and prepared statements that sessions keep, in number and bytes, and in bytes for all together. */
internal object KeptState {
    /** Decides on a new session value. */
    fun set(state: SessionProxyState, session: Session, statement: CallerStatement.SetValue): KeptDecision {
        val before = session.values[statement.name]
        val added = bytes(statement.name, statement.value) - (before?.let { bytes(statement.name, it) } ?: 0)
        val values = session.values.put(statement.name, statement.value)
        return decide(state, session.copy(values = values, keptBytes = session.keptBytes + added), added, values.size)
    }

    /** Decides on a new prepared statement. */
    fun prepare(state: SessionProxyState, session: Session, statement: CallerStatement.Prepare): KeptDecision {
        val before = session.prepared[statement.name]
        val added = bytes(statement.name, statement.prepared) - (before?.let { bytes(statement.name, it) } ?: 0)
        val prepared = session.prepared.put(statement.name, statement.prepared)
        val changed = session.copy(prepared = prepared, keptBytes = session.keptBytes + added)
        return decide(state, changed, added, prepared.size)
    }

    /** The session without the statement prepared as [name]. */
    fun deallocate(session: Session, name: String): Session {
        val before = session.prepared[name] ?: return session
        val rest = session.keptBytes - bytes(name, before)
        return session.copy(prepared = session.prepared.remove(name), keptBytes = rest)
    }

    /** Answers the statement of [event]; nothing of a refused one is kept. */
    fun answer(
        reduction: Reduction,
        session: Session,
        event: SessionEvent.StatementArrived,
        decision: KeptDecision,
    ) {
        when (decision) {
            is KeptDecision.Accepted -> {
                reduction.put(decision.session.copy(idleSince = reduction.now))
                val completed = SessionReply.Completed(status = session.transaction.status)
                SessionReplies.answerLocally(reduction, decision.session, event.identifier, completed)
            }
            is KeptDecision.Refused -> refuse(reduction, session, event.identifier, decision)
        }
    }

    private fun refuse(reduction: Reduction, session: Session, identifier: String, refusal: KeptDecision.Refused) {
        reduction.count(SessionCounter.LIMITS, refusal.label)
        if (refusal.kind == ErrorKind.OVERLOADED) {
            DroppedStatements.refuse(reduction, session, identifier, CallerStatement.Dropped(refusal.reason))
        } else {
            val next = session.copy(idleSince = reduction.now)
            reduction.put(next)
            val reply = SessionReplies.refusal(reduction, next, refusal.kind, refusal.reason)
            SessionReplies.answerLocally(reduction, next, identifier, reply)
        }
    }

    // A statement that adds nothing is never refused, so that a session at its limit can become smaller.
    private fun decide(state: SessionProxyState, changed: Session, added: Int, count: Int): KeptDecision {
        val limits = state.settings.kept
        return when {
            added <= 0 -> KeptDecision.Accepted(changed)
            count > limits.perSession -> tooMuch("a session keeps at most ${limits.perSession} of them", "kept-number")
            changed.keptBytes > limits.bytesPerSession ->
                tooMuch("a session keeps at most ${limits.bytesPerSession} bytes", "kept-bytes")
            changed.keptBytes > KeptSettings.FREE_BYTES && state.keptBytes + added > limits.bytes ->
                KeptDecision.Refused(ErrorKind.OVERLOADED, "sessions keep too many bytes", "kept-bytes-of-all")
            KeptShares.exceeds(state, changed, added) ->
                KeptDecision.Refused(ErrorKind.OVERLOADED, "sessions keep too many bytes", "kept-bytes-share")
            else -> KeptDecision.Accepted(changed)
        }
    }

    private fun tooMuch(reason: String, label: String) =
        KeptDecision.Refused(ErrorKind.REQUEST_TOO_LARGE, reason, label)

    private fun bytes(name: String, value: String) = ENTRY_BYTES + name.length + value.length

    private fun bytes(name: String, prepared: PreparedStatement) = bytes(name, prepared.text)

    /** What an entry takes besides its texts. */
    const val ENTRY_BYTES = 64
}
