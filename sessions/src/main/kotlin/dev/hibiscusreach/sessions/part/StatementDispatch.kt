package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.ServerStatement
import dev.hibiscusreach.sessions.state.OutstandingStatement.Purpose
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.ServerConnection
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction
import kotlinx.collections.immutable.persistentListOf

/** Brings statements to server connections. */
internal object StatementDispatch {
    /** Starts a statement that has just arrived. */
    fun start(turn: Reduction, session: Session, pending: PendingStatement) {
        val running = session.running
        when {
            running != null -> StatementSending.inTransaction(turn, session, pending, running)
            !assign(turn, session, pending) -> enqueue(turn, session, pending)
        }
    }

    /** Puts a statement back into the queue, not before [pause] from now if one is given. */
    fun requeue(turn: Reduction, session: Session, pending: PendingStatement, pause: Millis? = null) {
        val waiting = pending.copy(phase = Phase.Waiting(pause?.let { turn.now + it }))
        val next = session.copy(pending = waiting)
        turn.put(next)
        if (pause != null || !assign(turn, next, waiting)) enqueue(turn, next, waiting)
    }

    /** Gives free connections of a group to waiting statements. */
    fun serveWaiting(turn: Reduction, group: GroupName) {
        for (number in turn.state.waiting[group].orEmpty().sortedBy { rank(turn, it) }) {
            val session = turn.session(number)
            val pending = session?.pending
            if (pending == null || pending.phase !is Phase.Waiting) {
                turn.stopWaiting(group, number)
            } else if (assign(turn, session, pending)) {
                turn.stopWaiting(group, number)
            }
        }
    }

    // A statement with a higher priority goes first, then the one whose objective ends first.
    private fun rank(turn: Reduction, number: SessionNumber): Long {
        val pending = turn.session(number)?.pending ?: return 0
        val due = pending.arrivedAt.millis + pending.route.latencyObjective.value
        return due + pending.route.priority * PRIORITY_STEP_MILLIS
    }

    private fun assign(turn: Reduction, session: Session, pending: PendingStatement): Boolean {
        val notBefore = (pending.phase as? Phase.Waiting)?.notBefore
        val pausing = notBefore != null && turn.now < notBefore
        val candidates = if (pausing) emptyList() else ServerSelection.candidates(turn, session, pending)
        openFor(turn, pending, candidates)
        val choice = candidates.firstNotNullOfOrNull { choose(turn, session, it) } ?: return false
        hand(turn, session, pending, ConnectionCheckout.hold(turn, choice.first, session.number), choice.second)
        return true
    }

    // Opens as many connections as statements wait, at the best server that can take one more.
    private fun openFor(turn: Reduction, pending: PendingStatement, candidates: List<ServerCandidate>) {
        val waiting = turn.state.waiting[pending.route.group]?.size ?: 0
        val pools = candidates.map { ConnectionPools.connections(turn, it.server.name) }
        if (pools.firstOrNull().orEmpty().any { it.idle }) return
        val opening = pools.sumOf { pool -> pool.count { !it.open } }
        if (opening <= waiting) candidates.firstOrNull { ConnectionPools.open(turn, it.server) }
    }

    // A connection that has the session's values already needs no statements to set them.
    private fun choose(
        turn: Reduction,
        session: Session,
        candidate: ServerCandidate,
    ): Pair<ServerConnection, ServerCandidate>? {
        val idle = ConnectionPools.connections(turn, candidate.server.name).filter { it.idle }
        val connection = idle.find { it.values == session.values } ?: idle.maxByOrNull { it.usedAt?.millis ?: 0 }
        return connection?.let { it to candidate }
    }

    private fun hand(
        turn: Reduction,
        session: Session,
        pending: PendingStatement,
        connection: ServerConnection,
        candidate: ServerCandidate,
    ) {
        val begun = session.transaction as? Transaction.Begun
        if (begun == null) {
            StatementSending.statement(turn, session, pending, connection, candidate.minimumPosition)
        } else {
            val (prepared, setup) = SessionSetup.statements(connection, session, statement = null)
            val begin = ServerStatement.Begin(begun.readOnly, candidate.minimumPosition)
            turn.put(session.copy(pending = pending.copy(phase = Phase.Beginning(connection.number, turn.now))))
            ConnectionCheckout.send(turn, prepared, setup.map { Purpose.SETUP to it } + (Purpose.BEGIN to begin))
        }
    }

    private fun enqueue(turn: Reduction, session: Session, pending: PendingStatement) {
        val group = pending.route.group
        val reason = AdmissionControl.reason(turn, session, pending)
        if (reason != null) {
            StatementFailures.refuse(turn, session, pending, reason.first, reason.second)
        } else {
            val queue = turn.state.waiting[group] ?: persistentListOf()
            if (session.number !in queue) {
                turn.state = turn.state.copy(waiting = turn.state.waiting.put(group, queue.add(session.number)))
            }
        }
    }

    /** A step of priority counts as much as this much time until the objective. */
    private const val PRIORITY_STEP_MILLIS = 200L
}
