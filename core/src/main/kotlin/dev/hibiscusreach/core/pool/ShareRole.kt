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
     * This process is the home, but an earlier home may still hold connections of the share. Opens what the other
     * processes of the failure domain say they do not hold, once all have answered or [until] has passed.
     */
    data class Acquiring(
        val until: MonotonicTime,
        val askedAt: MonotonicTime,
        /** The connections that each process that has answered still holds. */
        val remaining: PersistentMap<NodeIdentity, Map<ServerName, Int>> = persistentMapOf(),
        /** Whether nobody is left who could hold connections without having said so. */
        val isCleared: Boolean = false,
    ) : ShareRole

    /** Another process is the home; what is still in use is closed as it comes back. */
    data class Releasing(val successor: NodeIdentity?) : ShareRole
}
