package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf

/** The connections of this process to one server and the attempts that wait for one. */
data class ServerPool(
    val server: ServerName,
    val database: DatabaseName,
    /** All connections, whatever their use. */
    val connections: PersistentSet<ConnectionNumber> = persistentSetOf(),
    /** Idle connections, the most recently used one last. */
    val idle: PersistentList<ConnectionNumber> = persistentListOf(),
    val opening: Int = 0,
    val queue: FairQueue = FairQueue(),
    /** No connection is opened before this time, after the server refused one. */
    val opensAfter: MonotonicTime? = null,
) {
    /** Connections that belong to attempts or are being checked. */
    val busy: Int get() = connections.size - idle.size - opening

    /** Whether this pool holds nothing. */
    val isUnused: Boolean get() = connections.isEmpty() && queue.isEmpty
}
