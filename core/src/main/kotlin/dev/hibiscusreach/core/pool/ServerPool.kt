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
    /** All connections, including those that are being opened or checked. */
    val connections: PersistentSet<ConnectionNumber> = persistentSetOf(),
    /** Idle connections, the most recently used one last. */
    val idle: PersistentList<ConnectionNumber> = persistentListOf(),
    val opening: Int = 0,
    val queue: FairQueue = FairQueue(),
    /** No connection is opened before this time, because an earlier one could not be opened. */
    val openRetryAt: MonotonicTime? = null,
) {
    /** Number of connections that are in use or being checked. */
    val busy: Int get() = connections.size - idle.size - opening

    /** Whether this pool has neither connections nor waiters. */
    val isUnused: Boolean get() = connections.isEmpty() && queue.isEmpty
}
