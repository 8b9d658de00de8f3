package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.AttemptNumber
import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName

/** The current use of a session connection. */
sealed interface ConnectionUse {
    /** The connection is being set up. */
    data class Opening(val since: MonotonicTime) : ConnectionUse

    /** The connection is open and not in use. */
    data class Idle(val since: MonotonicTime) : ConnectionUse

    /** A reset was sent to check whether the connection still works. */
    data class Checking(val attempt: AttemptNumber, val since: MonotonicTime) : ConnectionUse

    /** The connection is used by an attempt or transaction of [caller]. */
    data class Granted(val attempt: AttemptNumber, val caller: CallerName) : ConnectionUse
}

/** One session connection of this process. */
data class PooledConnection(val number: ConnectionNumber, val server: ServerName, val use: ConnectionUse)
