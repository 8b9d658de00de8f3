package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.IdempotencyKey
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.RequestIdentifier
import dev.hibiscusreach.core.model.Statement

/** What has to be done for a request. */
sealed interface Work {
    /** Whether a lost answer leaves it open what took effect. */
    val leavesOutcomeOpen: Boolean get() = true

    /** Reads data that is not older than [maximumAge]. */
    data class Read(val statements: List<Statement>, val maximumAge: Millis) : Work {
        override val leavesOutcomeOpen: Boolean get() = false
    }

    /** Runs statements at the primary; without [key] they may run more than once. */
    data class Write(val statements: List<Statement>, val key: IdempotencyKey?) : Work

    /** Opens an interactive transaction. One whose identifier was lost is never committed. */
    data object Begin : Work {
        override val leavesOutcomeOpen: Boolean get() = false
    }

    /** Work inside an open interactive transaction. */
    sealed interface InTransaction : Work {
        /** Identifier of the transaction. */
        val transaction: String
    }

    /** Runs statements in an open transaction. */
    data class Run(override val transaction: String, val statements: List<Statement>) : InTransaction

    /** Commits an open transaction. */
    data class Commit(override val transaction: String, val key: IdempotencyKey) : InTransaction

    /** Rolls an open transaction back. */
    data class Rollback(override val transaction: String) : InTransaction

    /** Finds out whether the request with [identifier] ran and cancels it if it did not. */
    data class Resolve(
        val identifier: RequestIdentifier,
        /**
         * The write to send again if there is a record. It does not run, but its server compares the fingerprints,
         * which a record alone does not show.
         */
        val recorded: Write? = null,
    ) : Work
}
