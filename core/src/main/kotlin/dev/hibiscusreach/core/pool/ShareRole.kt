package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.ServerName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** This process's right to open connections to the servers of one database. */
sealed interface ShareRole {
    /** This process is the home and no other process holds connections of the share. */
    data object Held : ShareRole

    /**
     * This process is the home, but an earlier home may still hold connections of the share. Connections that the other
     * processes of the failure domain do not report as held are opened once all have answered or at [takesOverAt].
     */
    data class Acquiring(
        val takesOverAt: MonotonicTime,
        val requestedAt: MonotonicTime,
        /** Number of connections to each server that a process has reported as still held. */
        val holdings: PersistentMap<NodeIdentity, Map<ServerName, Int>> = persistentMapOf(),
        /** Whether the wait for other processes is over, so that connections not reported as held may be opened. */
        val isOpeningAllowed: Boolean = false,
    ) : ShareRole

    /** Another process is the home; connections still in use are closed when they are returned. */
    data class Releasing(val successor: NodeIdentity?) : ShareRole
}
