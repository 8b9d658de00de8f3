package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.AttemptNumber
import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName

/** What a session connection is doing. */
sealed interface ConnectionUse {
    /** The connection is being set up. */
    data class Opening(val since: MonotonicTime) : ConnectionUse

    /** Nobody uses the connection. */
    data class Idle(val since: MonotonicTime) : ConnectionUse

    /** A reset was sent, to see whether the connection still works. */
    data class Checking(val attempt: AttemptNumber, val since: MonotonicTime) : ConnectionUse

    /** The connection belongs to an attempt or transaction of [caller]. */
    data class Granted(val attempt: AttemptNumber, val caller: CallerName) : ConnectionUse
}

/** One session connection of this process. */
data class PooledConnection(val number: ConnectionNumber, val server: ServerName, val use: ConnectionUse)
