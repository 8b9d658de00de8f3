package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.model.CallerStatement
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.ServerStatement
import dev.hibiscusreach.sessions.state.Outstanding.Purpose
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.ServerConnection
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction
import kotlinx.collections.immutable.persistentListOf

/** Brings statements to server connections. */
internal object Dispatch {
    /** Starts a statement that has just arrived. */
    fun start(turn: Turn, session: Session, pending: PendingStatement) {
        val running = session.transaction as? Transaction.Running
        when {
            running != null -> sendInTransaction(turn, session, pending, running)
            !assign(turn, session, pending) -> enqueue(turn, session, pending)
        }
    }

    /** Sends a statement on the connection of its transaction. */
    fun sendInTransaction(turn: Turn, session: Session, pending: PendingStatement, running: Transaction.Running) {
        val connection = turn.state.connections[running.connection]
        val commits = pending.statement is CallerStatement.Commit && running.wrote
        when {
            connection == null -> {
                val message = "the transaction's server connection was lost"
                abort(turn, session, pending, message)
            }
            commits && !mayCommit(turn, connection) -> {
                Pools.rollback(turn, connection.number)
                abort(turn, session, pending, "the transaction's server is not the primary any more")
            }
            // The position was checked when the transaction began.
            else -> sendStatement(turn, session, pending, connection, minimumPosition = null)
        }
    }

    /** Puts a statement back into the queue, not before [pause] from now if one is given. */
    fun requeue(turn: Turn, session: Session, pending: PendingStatement, pause: Millis? = null) {
        val waiting = pending.copy(phase = Phase.Waiting(pause?.let { turn.now + it }))
        val next = session.copy(pending = waiting)
        turn.put(next)
        if (pause != null || !assign(turn, next, waiting)) enqueue(turn, next, waiting)
    }

    /** Gives free connections of a group to waiting statements. */
    fun serveWaiting(turn: Turn, group: GroupName) {
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

    /** Sends the statement itself on a connection that the session holds. */
    fun sendStatement(
        turn: Turn,
        session: Session,
        pending: PendingStatement,
        connection: ServerConnection,
        minimumPosition: Position?,
    ) {
        val statement = serverStatement(session, pending, minimumPosition)
        val (prepared, setup) = SessionSetup.statements(connection, session, statement)
        val epoch = turn.group(connection.group).record?.epoch ?: 0
        val sent = pending.copy(phase = Phase.Sent(connection.number, turn.now, epoch), attempts = pending.attempts + 1)
        turn.put(session.copy(pending = sent))
        Pools.send(turn, prepared, setup.map { Purpose.SETUP to it } + (Purpose.CALLER to statement))
    }

    // A statement with a higher priority goes first, then the one whose objective ends first.
    private fun rank(turn: Turn, number: SessionNumber): Long {
        val pending = turn.session(number)?.pending ?: return 0
        val due = pending.arrivedAt.millis + pending.route.latencyObjective.value
        return due + pending.route.priority * PRIORITY_STEP_MILLIS
    }

    private fun assign(turn: Turn, session: Session, pending: PendingStatement): Boolean {
        val notBefore = (pending.phase as? Phase.Waiting)?.notBefore
        if (notBefore != null && turn.now < notBefore) return false
        val candidates = ServerSelection.candidates(turn, session, pending)
        candidates.firstOrNull()?.let { best ->
            if (Pools.connections(turn, best.server.name).none { it.idle || !it.open }) Pools.open(turn, best.server)
        }
        for (candidate in candidates) {
            val idle = Pools.connections(turn, candidate.server.name).filter { it.idle }
            val connection = idle.find { it.values == session.values } ?: idle.firstOrNull()
            if (connection != null) {
                hand(turn, session, pending, Pools.hold(turn, connection, session.number), candidate)
                return true
            }
        }
        return false
    }

    private fun hand(
        turn: Turn,
        session: Session,
        pending: PendingStatement,
        connection: ServerConnection,
        candidate: Candidate,
    ) {
        val begun = session.transaction as? Transaction.Begun
        if (begun == null) {
            sendStatement(turn, session, pending, connection, candidate.minimumPosition)
        } else {
            val (prepared, setup) = SessionSetup.statements(connection, session, statement = null)
            val begin = ServerStatement.Begin(begun.readOnly, candidate.minimumPosition)
            turn.put(session.copy(pending = pending.copy(phase = Phase.Beginning(connection.number, turn.now))))
            Pools.send(turn, prepared, setup.map { Purpose.SETUP to it } + (Purpose.BEGIN to begin))
        }
    }

    private fun enqueue(turn: Turn, session: Session, pending: PendingStatement) {
        val group = pending.route.group
        val reason = Hopeless.reason(turn, session, pending)
        if (reason != null) {
            Failures.refuse(turn, session, pending, reason.first, reason.second)
        } else {
            val queue = turn.state.waiting[group] ?: persistentListOf()
            if (session.number !in queue) {
                turn.state = turn.state.copy(waiting = turn.state.waiting.put(group, queue.add(session.number)))
            }
        }
    }

    private fun serverStatement(session: Session, pending: PendingStatement, minimumPosition: Position?): ServerStatement =
        when (val statement = pending.statement) {
            is CallerStatement.Run -> ServerStatement.Run(pending.identifier, statement.text, minimumPosition)
            is CallerStatement.Execute ->
                ServerStatement.Execute(
                    identifier = pending.identifier,
                    shape = session.prepared.getValue(statement.name),
                    arguments = statement.arguments,
                    minimumPosition = minimumPosition,
                )
            else -> ServerStatement.Commit(pending.identifier)
        }

    private fun mayCommit(turn: Turn, connection: ServerConnection): Boolean =
        Primaries.usable(turn, turn.group(connection.group), turn.settings.leases.writeMargin) == connection.server

    private fun abort(turn: Turn, session: Session, pending: PendingStatement, message: String) {
        val commits = pending.statement is CallerStatement.Commit
        val next = session.copy(transaction = if (commits) Transaction.None else Transaction.Failed)
        val reply = Replies.refusal(turn, next, ErrorKind.TRANSACTION_ENDED, message)
        Replies.pending(turn, next, pending, reply)
    }

    /** A step of priority counts as much as this much time until the objective. */
    private const val PRIORITY_STEP_MILLIS = 200L
}
