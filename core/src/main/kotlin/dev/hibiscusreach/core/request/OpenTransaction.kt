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
    /** The end of the transaction's life, whatever it does. */
    val endsAt: MonotonicTime,
    /** When the running timer is due; an earlier firing belongs to an earlier timer. */
    val timerDue: MonotonicTime,
    /** The request that uses the transaction now. */
    val busy: ArrivalNumber? = null,
)
