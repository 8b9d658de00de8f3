package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.IdempotencyKey
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.RequestIdentifier
import dev.hibiscusreach.core.model.Statement

/** What has to be done for a request. */
sealed interface Work {
    /** Whether the work can change data, so that a lost answer leaves the outcome open. */
    val changesData: Boolean get() = false

    /** Reads data that is not older than [maximumAge]. */
    data class Read(val statements: List<Statement>, val maximumAge: Millis) : Work

    /** Runs statements at the primary; without [key] they may run more than once. */
    data class Write(val statements: List<Statement>, val key: IdempotencyKey?) : Work {
        override val changesData: Boolean get() = true
    }

    /** Opens an interactive transaction. */
    data object Begin : Work

    /** Work inside an open interactive transaction. */
    sealed interface InTransaction : Work {
        /** Identifier of the transaction. */
        val transaction: String
    }

    /** Runs statements in an open transaction. */
    data class Run(override val transaction: String, val statements: List<Statement>) : InTransaction

    /** Commits an open transaction. */
    data class Commit(override val transaction: String, val key: IdempotencyKey) : InTransaction {
        override val changesData: Boolean get() = true
    }

    /** Rolls an open transaction back. */
    data class Rollback(override val transaction: String) : InTransaction

    /** Finds out whether the request with [identifier] ran and cancels it if it did not. */
    data class Resolve(val identifier: RequestIdentifier) : Work {
        override val changesData: Boolean get() = true
    }
}
