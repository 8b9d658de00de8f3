package dev.hibiscusreach.core.event

import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.RequestIdentifier
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Statement
import dev.hibiscusreach.core.model.StatementResult
import dev.hibiscusreach.core.model.Term
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The idempotency key of a write, stored in the database in the same transaction as the write. */
@Serializable
data class IdempotencyKey(
    val identifier: RequestIdentifier,
    /** Digest of the request's body, which distinguishes a retry from an identifier reused for another request. */
    val fingerprint: String,
)

/** A command on a pooled session connection. A server refuses a command whose term is lower than its own. */
@Serializable
sealed interface SessionCommand {
    /** The term that the sender takes to be current. */
    val term: Term

    /**
     * Runs statements as one transaction and commits it. Reads are refused with [SessionAnswer.Behind] by a server
     * that has not applied [minimumPosition]. Only a primary accepts writes.
     */
    @Serializable
    @SerialName("execute")
    data class Execute(
        override val term: Term,
        val statements: List<Statement>,
        val write: Boolean,
        val minimumPosition: Position,
        val idempotencyKey: IdempotencyKey? = null,
    ) : SessionCommand

    /** Opens a transaction on this connection. Only a primary accepts it. */
    @Serializable
    @SerialName("begin")
    data class Begin(override val term: Term, val minimumPosition: Position) : SessionCommand

    /** Runs statements in the connection's open transaction. */
    @Serializable
    @SerialName("run")
    data class Run(override val term: Term, val statements: List<Statement>) : SessionCommand

    /** Commits the connection's open transaction. */
    @Serializable
    @SerialName("commit")
    data class Commit(override val term: Term, val idempotencyKey: IdempotencyKey) : SessionCommand

    /** Rolls back the connection's open transaction. */
    @Serializable
    @SerialName("rollback")
    data class Rollback(override val term: Term) : SessionCommand

    /** Aborts the connection's open transaction, if any, and clears its session state. */
    @Serializable
    @SerialName("reset")
    data class Reset(override val term: Term) : SessionCommand

    /** Returns the idempotency record, or writes a cancellation record if none exists. Only a primary accepts it. */
    @Serializable
    @SerialName("resolve")
    data class Resolve(override val term: Term, val identifier: RequestIdentifier) : SessionCommand
}

/** The answer of a server on a session connection. */
@Serializable
sealed interface SessionAnswer {
    /** Status of the answering server. */
    val status: ServerStatus

    /** The command was executed; [status] has the position after it. */
    @Serializable
    @SerialName("done")
    data class Done(
        override val status: ServerStatus,
        val results: List<StatementResult> = emptyList(),
        /** For a write, the position of its log entry; for a read, the position that it was served at. */
        val position: Position,
        /** Whether the results come from an idempotency record. */
        val replayed: Boolean = false,
    ) : SessionAnswer

    /** The server has not applied the minimum position. Nothing ran. */
    @Serializable
    @SerialName("behind")
    data class Behind(override val status: ServerStatus) : SessionAnswer

    /** The server knows a higher term, or is not the primary although the command requires it. Nothing ran. */
    @Serializable
    @SerialName("wrongTerm")
    data class WrongTerm(override val status: ServerStatus) : SessionAnswer

    /** A statement was rejected and the whole transaction rolled back. */
    @Serializable
    @SerialName("rejected")
    data class Rejected(override val status: ServerStatus, val message: String) : SessionAnswer

    /** The transaction conflicted with another one and was rolled back; it may be retried. */
    @Serializable
    @SerialName("conflict")
    data class Conflict(override val status: ServerStatus) : SessionAnswer

    /** The idempotency key was used with another fingerprint. Nothing ran. */
    @Serializable
    @SerialName("identifierReused")
    data class IdentifierReused(override val status: ServerStatus) : SessionAnswer

    /**
     * The identifier has a cancellation record: the request has not run and cannot run any more. [position] is the
     * position of the record, which must be stored on a majority before the cancellation is reported.
     */
    @Serializable
    @SerialName("cancelled")
    data class Cancelled(override val status: ServerStatus, val position: Position) : SessionAnswer

    /** The connection has no open transaction, although the command requires one. */
    @Serializable
    @SerialName("noTransaction")
    data class NoTransaction(override val status: ServerStatus) : SessionAnswer

    /** The server temporarily accepts no new commands. Nothing ran. */
    @Serializable
    @SerialName("unavailable")
    data class Unavailable(override val status: ServerStatus) : SessionAnswer
}

/** Role of a server in its group. */
@Serializable
enum class ServerRole { PRIMARY, REPLICA }

/** Status that a server reports about itself. */
@Serializable
data class ServerStatus(
    val server: ServerName,
    val term: Term,
    val role: ServerRole,
    /** Position of the last entry that the server has applied. */
    val applied: Position,
    val leaving: Boolean = false,
    val openConnections: Int = 0,
    val busySlots: Int = 0,
)

/** A command to a server's control endpoint. */
@Serializable
sealed interface ControlCommand {
    /** Asks for the server's status. */
    @Serializable
    @SerialName("probe")
    data object Probe : ControlCommand

    /**
     * Waits up to [waitMillis] until the server has stored [position] while its term is still [term]. Answered with
     * [ControlAnswer.Confirmed], or with [ControlAnswer.Refused] if the term changed or the time ran out.
     */
    @Serializable
    @SerialName("confirm")
    data class Confirm(val term: Term, val position: Position, val waitMillis: Long) : ControlCommand

    /** Makes the server refuse all lower terms. Accepted for a higher term, or as a retry by the same proposer. */
    @Serializable
    @SerialName("fence")
    data class Fence(val term: Term, val proposer: NodeIdentity) : ControlCommand

    /** Makes the server the primary of [term]. Accepted only if the server was fenced for it by [proposer]. */
    @Serializable
    @SerialName("promote")
    data class Promote(val term: Term, val proposer: NodeIdentity) : ControlCommand

    /** Makes the server a replica of [primary] in [term]. Accepted if the server knows no higher term. */
    @Serializable
    @SerialName("follow")
    data class Follow(val term: Term, val primary: ServerName) : ControlCommand
}

/** The answer of a server's control endpoint. */
@Serializable
sealed interface ControlAnswer {
    /** Status of the answering server. */
    val status: ServerStatus

    /** The command was executed. */
    @Serializable
    @SerialName("confirmed")
    data class Confirmed(override val status: ServerStatus) : ControlAnswer

    /** The command was not executed because of the server's term or role, or because the wait timed out. */
    @Serializable
    @SerialName("refused")
    data class Refused(override val status: ServerStatus, val reason: String) : ControlAnswer
}
