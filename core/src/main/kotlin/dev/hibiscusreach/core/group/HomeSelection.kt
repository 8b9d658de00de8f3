package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.model.ConfigurationIndex
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.DatabaseHomes
import dev.hibiscusreach.core.reducer.RendezvousHash

/**
 * The homes of all groups in one failure domain. Hashing 1,600 groups over the nodes of a domain takes tens of
 * milliseconds. A change therefore rehashes only the groups whose home left, and compares the other homes with the
 * added nodes.
 */
internal data class HomeSelection(
    val generation: Long = 0,
    val candidates: List<NodeIdentity> = emptyList(),
    val homes: Map<DatabaseName, NodeIdentity> = emptyMap(),
) {
    /** The selection for a new configuration or for other [current] candidates; the same object if nothing changed. */
    fun updated(index: ConfigurationIndex, domain: FailureDomainName, current: List<NodeIdentity>): HomeSelection {
        if (index.generation == generation && current == candidates) return this
        val added = current - candidates.toSet()
        val remaining = current.toSet()
        val selected =
            index.databaseGroups
                .filter { domain in DatabaseHomes.domains(it) }
                .mapNotNull { group -> homeOf(group, current, remaining, added)?.let { group.name to it } }
        return HomeSelection(index.generation, current, selected.toMap())
    }

    private fun homeOf(
        group: DatabaseGroup,
        current: List<NodeIdentity>,
        remaining: Set<NodeIdentity>,
        added: List<NodeIdentity>,
    ): NodeIdentity? {
        val currentHome = homes[group.name]?.takeIf { it in remaining }
        val contenders = if (currentHome == null) current else added + currentHome
        return RendezvousHash.first(group.name.value, contenders) { it.peerEndpoint }
    }
}
