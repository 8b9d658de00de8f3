package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.allowance.OperationToken
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.CallerStatement
import dev.hibiscusreach.sessions.model.ForwardedAnswer
import dev.hibiscusreach.sessions.model.ForwardedOperation
import dev.hibiscusreach.sessions.model.ForwardedScope
import dev.hibiscusreach.sessions.model.ForwardedStatement
import dev.hibiscusreach.sessions.model.SessionReply
import dev.hibiscusreach.sessions.model.TransactionStatus
import dev.hibiscusreach.sessions.state.CommitPosition
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/** Accepts statements that peers forward to this proxy as a home. A session is kept only while it has a transaction. */
internal object ForwardedArrivals {
    /** Name under which a forwarded prepared statement is kept in its session. */
    private const val PREPARED_NAME = ""

    /** Runs a forwarded statement, or refuses it if this proxy is no home of its group. */
    fun arrived(reduction: Reduction, event: SessionEvent.StatementForwarded) {
        val statement = event.statement
        val known = reduction.session(event.session)
        val reason = refusalReason(reduction, statement)
        val otherRoute = if (known == null) ConfigurationAgreement.refusal(reduction, statement) else null
        when {
            known != null -> run(reduction, known, event)
            statement.scope == ForwardedScope.RUNNING -> refuseUnknownTransaction(reduction, event)
            reason != null -> {
                reduction.log("forwarded statement refused", "request" to statement.identifier, "reason" to reason)
                reduction.emit(SessionEffect.AnswerForwarded(event.session, ForwardedAnswer.NotServed(reason)))
            }
            otherRoute != null -> {
                reduction.log(
                    "forwarded statement refused",
                    "request" to statement.identifier,
                    "reason" to "the configuration has another route",
                    "version" to otherRoute.version,
                    "versionOfPeer" to statement.configurationVersion,
                )
                reduction.emit(SessionEffect.AnswerForwarded(event.session, otherRoute))
            }
            else -> run(reduction, session(reduction, event), event)
        }
    }

    /** Returns a statement to the peer that forwarded it, because its token has expired before it could be sent. */
    fun tokenExpired(reduction: Reduction, session: Session, pending: PendingStatement) {
        reduction.dequeue(pending.route.group, session.number)
        reduction.remove(session)
        reduction.log(
            "forwarded statement refused",
            "request" to pending.identifier,
            "reason" to "the token of the tenant's allowance has expired",
        )
        reduction.emit(SessionEffect.AnswerForwarded(session.number, ForwardedAnswer.TokenExpired))
    }

    private fun refusalReason(reduction: Reduction, statement: ForwardedStatement): String? =
        when {
            reduction.state.stoppingSince != null -> "the home is stopping"
            !GroupHomes.isHome(reduction, statement.route.group) -> "the proxy is no home of the group"
            !reduction.state.serving -> "the home has not read the configuration and the servers"
            isUnconfirmed(reduction, statement) -> "the home's configuration is not confirmed"
            else -> null
        }

    // An open transaction goes on to its end.
    private fun isUnconfirmed(reduction: Reduction, statement: ForwardedStatement) =
        statement.tenant != null && statement.scope == ForwardedScope.SINGLE &&
            ConfigurationFreshness.mayMissRevocation(reduction)

    private fun refuseUnknownTransaction(reduction: Reduction, event: SessionEvent.StatementForwarded) {
        val commits = event.statement.operation == ForwardedOperation.Commit
        val status = if (commits) TransactionStatus.NONE else TransactionStatus.FAILED
        val message = "the home does not hold the transaction any more"
        val reply = SessionReply.Refused(ErrorKind.TRANSACTION_ENDED, message, status)
        reduction.emit(SessionEffect.AnswerForwarded(event.session, ForwardedAnswer.Replied(reply)))
    }

    private fun run(reduction: Reduction, session: Session, event: SessionEvent.StatementForwarded) {
        val statement = event.statement
        val prepared = (statement.operation as? ForwardedOperation.Execute)?.prepared
        val updated =
            session.copy(
                values = statement.values.toPersistentMap(),
                prepared = prepared?.let { persistentMapOf(PREPARED_NAME to it) } ?: session.prepared,
            )
        reduction.put(updated)
        val arrival =
            SessionEvent.StatementArrived(
                session = event.session,
                identifier = statement.identifier,
                statement = callerStatement(statement.operation),
                waited = statement.waited,
            )
        StatementArrivals.statementArrived(reduction, arrival)
    }

    private fun session(reduction: Reduction, event: SessionEvent.StatementForwarded): Session {
        val statement = event.statement
        val route = statement.route
        val tenant = statement.tenant?.name
        val transaction =
            when (statement.scope) {
                ForwardedScope.BEGIN -> Transaction.Begun(readOnly = false, reduction.now, route, tenant)
                ForwardedScope.BEGIN_READ -> Transaction.Begun(readOnly = true, reduction.now, route, tenant)
                ForwardedScope.SINGLE, ForwardedScope.RUNNING -> Transaction.None
            }
        return Session(
            number = event.session,
            database = route.database,
            idleSince = reduction.now,
            lastCommit = statement.lastCommit?.let { CommitPosition(route.group, it) },
            transaction = transaction,
            forwardedRoute = route,
            forwardedTenant = tenant,
            forwardedKeysDigest = statement.tenant?.keysDigest,
            forwardedToken = statement.tokenRemaining?.let { OperationToken(reduction.now + it) },
        )
    }

    private fun callerStatement(operation: ForwardedOperation): CallerStatement =
        when (operation) {
            is ForwardedOperation.Run -> CallerStatement.Run(operation.access, operation.text)
            is ForwardedOperation.Execute -> CallerStatement.Execute(PREPARED_NAME, operation.arguments)
            ForwardedOperation.Commit -> CallerStatement.Commit
        }
}
