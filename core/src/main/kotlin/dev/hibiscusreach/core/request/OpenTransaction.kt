package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term

/** An interactive transaction that this process holds on one pinned connection. */
data class OpenTransaction(
    val identifier: String,
    val caller: CallerName,
    val database: DatabaseName,
    val connection: ConnectionNumber,
    val server: ServerName,
    val term: Term,
    /** Time at which the transaction ends even if it is in use. */
    val expiresAt: MonotonicTime,
    /** Time at which the running timer is due; a timer that fires earlier has been replaced. */
    val timerDue: MonotonicTime,
    /** The request that is using the transaction, or null if the transaction is idle. */
    val activeRequest: ArrivalNumber? = null,
)
