package dev.hibiscusreach.sessions.state

import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.sessions.allowance.OperationToken
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.model.CallerStatement
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.PreparedStatement
import dev.hibiscusreach.sessions.model.Route
import dev.hibiscusreach.sessions.model.TransactionStatus
import dev.hibiscusreach.sessions.tenant.ApiKey
import dev.hibiscusreach.sessions.tenant.TenantName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** One caller session. */
data class Session(
    val number: SessionNumber,
    val database: DatabaseName,
    /** The key with which the caller connected. It stays in this process. */
    val key: ApiKey? = null,
    /** When the session was accepted or its latest statement was answered. */
    val idleSince: MonotonicTime,
    /** The address from which the caller connected; null if it is not known, and for a session of a peer. */
    val origin: String? = null,
    val values: PersistentMap<String, String> = persistentMapOf(),
    val prepared: PersistentMap<String, PreparedStatement> = persistentMapOf(),
    /** Bytes of [values] and [prepared], as far as the caller has set them here. */
    val keptBytes: Int = 0,
    /** The session's latest commit; reads with read-your-writes consistency must see it. */
    val lastCommit: CommitPosition? = null,
    val transaction: Transaction = Transaction.None,
    val pending: PendingStatement? = null,
    /** The route by which a peer accepted the statement that it forwarded; null for a session of a caller. */
    val forwardedRoute: Route? = null,
    /** The tenant for which a peer forwarded the statement; null for a session of a caller. */
    val forwardedTenant: TenantName? = null,
    /** Digest of that tenant's keys; null without a tenant. */
    val forwardedKeysDigest: Long? = null,
    /** The token that a peer took for the first statement that it forwarded; null if its use is not limited in time. */
    val forwardedToken: OperationToken? = null,
    /** Whether it was logged that the key has been revoked. */
    val revocationLogged: Boolean = false,
) {
    /** The open transaction, if it holds a server connection. */
    val running: Transaction.Running? get() = transaction as? Transaction.Running

    /** The open transaction, if a home holds it. */
    val remote: Transaction.Remote? get() = transaction as? Transaction.Remote

    /** Whether a peer forwards the statements of this session. */
    val isForwarded: Boolean get() = forwardedRoute != null
}

/** Position of a commit in the log of [group]. */
data class CommitPosition(val group: GroupName, val position: Position)

/** The transaction of a session. */
sealed interface Transaction {
    /** Status that is reported to the caller. */
    val status: TransactionStatus

    /** How the transaction began, while it is open; null otherwise. */
    val begun: Begun? get() = null

    /** No transaction is open. */
    data object None : Transaction {
        override val status: TransactionStatus get() = TransactionStatus.NONE
    }

    /** The caller has opened the transaction, but no server has. */
    data class Begun(
        val readOnly: Boolean,
        val begunAt: MonotonicTime,
        val route: Route,
        /** The tenant of the caller when the transaction began. */
        val tenant: TenantName? = null,
    ) : Transaction {
        override val status: TransactionStatus get() = TransactionStatus.OPEN

        override val begun: Begun get() = this
    }

    /** A home holds the transaction. */
    data class Remote(override val begun: Begun, val home: Endpoint, val wrote: Boolean) : Transaction {
        override val status: TransactionStatus get() = TransactionStatus.OPEN
    }

    /** The transaction holds a server connection. */
    data class Running(
        override val begun: Begun,
        val connection: ConnectionNumber,
        val wrote: Boolean,
        val usedAt: MonotonicTime,
    ) : Transaction {
        override val status: TransactionStatus get() = TransactionStatus.OPEN
    }

    /** The proxy ended the transaction; the caller is told at its next statement. */
    data class Aborted(val kind: ErrorKind, val message: String) : Transaction {
        override val status: TransactionStatus get() = TransactionStatus.FAILED
    }

    /** The transaction failed and the caller has been told. */
    data object Failed : Transaction {
        override val status: TransactionStatus get() = TransactionStatus.FAILED
    }
}

/** A statement that needs a server and has not been answered. */
data class PendingStatement(
    val identifier: String,
    val statement: CallerStatement,
    val access: Access,
    val route: Route,
    /** The tenant under which servers run the statement; null if it has none. */
    val tenant: TenantName? = null,
    val arrivedAt: MonotonicTime,
    val phase: Phase = Phase.Waiting(),
    val attempts: Int = 0,
    /** Servers that could not serve the statement. */
    val excluded: Set<ServerName> = emptySet(),
    /** Homes that could not serve the statement. */
    val excludedHomes: Set<Endpoint> = emptySet(),
    /** The token with which the statement starts an operation of its tenant; null without one. */
    val token: OperationToken? = null,
    /**
     * Whether this proxy has sent the statement to a server that may have run it. What a home has sent is not known, so
     * that a statement with an expired token may take a second one, which is safe.
     */
    val reachedServer: Boolean = false,
) {
    /** Whether the statement commits its transaction. */
    val commits: Boolean get() = statement is CallerStatement.Commit

    /** Whether a connection is being prepared for the statement, which has not been sent. */
    val isBeingSetUp: Boolean get() = phase is Phase.SettingUp || phase is Phase.Beginning

    /** State of the transaction after the statement has failed. */
    val transactionAfterFailure: Transaction get() = if (commits) Transaction.None else Transaction.Failed

    /** Progress of a pending statement. */
    sealed interface Phase {
        /** Waits for a token of the tenant's allowance. */
        data object AwaitingAllowance : Phase

        /** Waits for a connection, not before [notBefore]. */
        data class Waiting(val notBefore: MonotonicTime? = null) : Phase

        /** The session is being set up on the connection; the statement is sent once all of that is answered. */
        data class SettingUp(val connection: ConnectionNumber, val sentAt: MonotonicTime) : Phase

        /** The transaction is being opened at a server. */
        data class Beginning(val connection: ConnectionNumber, val sentAt: MonotonicTime) : Phase

        /** The statement was sent to a server. */
        data class Sent(
            val connection: ConnectionNumber,
            val sentAt: MonotonicTime,
            /** Epoch of the group's record when the statement was sent. */
            val epoch: Long,
            /** Term of the group's record when the statement was sent; null if there was no record. */
            val term: Term? = null,
        ) : Phase

        /** The statement was forwarded to a home. */
        data class Forwarded(val home: Endpoint) : Phase

        /** The server of the open transaction was overloaded; the statement goes to it again at [at]. */
        data class AwaitingRetry(val connection: ConnectionNumber, val at: MonotonicTime) : Phase
    }
}
