package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.model.ServerName

/** The session connections, their queues and the permits of callers. */
class PoolsState {
    /** Connections of this process's share that could serve a request to [server] now; below 0 if requests wait. */
    fun freeConnections(server: ServerName): Int = TODO("$server")
}
