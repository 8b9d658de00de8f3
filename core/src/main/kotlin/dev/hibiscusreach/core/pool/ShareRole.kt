package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.ServerName
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** This process's right to open connections to the servers of one database. */
sealed interface ShareRole {
    /** This process is the home and no other process holds connections of the share. */
    data object Held : ShareRole

    /**
     * This process is the home, but an earlier home may still hold connections of the share. Opens only what was
     * released, until [until] if no earlier home shows up.
     */
    data class Acquiring(
        val until: MonotonicTime,
        val released: PersistentMap<ServerName, Int> = persistentMapOf(),
        /** Earlier homes that have released a part and not yet everything. */
        val releasing: PersistentSet<NodeIdentity> = persistentSetOf(),
    ) : ShareRole

    /** Another process is the home; what is still in use is closed as it comes back. */
    data class Releasing(val successor: NodeIdentity?) : ShareRole
}
