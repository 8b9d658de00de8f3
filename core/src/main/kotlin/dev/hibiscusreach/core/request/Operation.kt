package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.IdempotencyKey
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.RequestIdentifier
import dev.hibiscusreach.core.model.Statement

/** The operation that a request asks for. */
sealed interface Operation {
    /** Whether it is unknown what took effect if the answer is lost. */
    val leavesOutcomeUnknown: Boolean get() = true

    /** Reads data that is not older than [maximumAge]. */
    data class Read(val statements: List<Statement>, val maximumAge: Millis) : Operation {
        override val leavesOutcomeUnknown: Boolean get() = false
    }

    /** Runs statements at the primary. Without [key] they may run more than once. */
    data class Write(val statements: List<Statement>, val key: IdempotencyKey?) : Operation

    /** Opens an interactive transaction. If its identifier is lost, it is never committed. */
    data object Begin : Operation {
        override val leavesOutcomeUnknown: Boolean get() = false
    }

    /** An operation in an open interactive transaction. */
    sealed interface InTransaction : Operation {
        /** Identifier of the transaction. */
        val transaction: String
    }

    /** Runs statements in an open transaction. */
    data class Run(override val transaction: String, val statements: List<Statement>) : InTransaction

    /** Commits an open transaction. */
    data class Commit(override val transaction: String, val key: IdempotencyKey) : InTransaction

    /** Rolls an open transaction back. */
    data class Rollback(override val transaction: String) : InTransaction

    /** Determines whether the request with [identifier] ran, and cancels it if it did not. */
    data class Resolve(
        val identifier: RequestIdentifier,
        /**
         * The write to send again if the request has an idempotency record. It does not run again, but the server
         * compares the fingerprints, which the record alone does not reveal.
         */
        val recorded: Write? = null,
    ) : Operation
}
