package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.Revision
import dev.hibiscusreach.sessions.state.HomeRoles

/**
 * Ends this proxy's use of groups that have other homes now. A write of the own record may take effect late, but only
 * while the record has the expected revision. A retired group is therefore not used again before the revision changed.
 */
internal object HomeRetirement {
    /** Retires from the groups in [surplus] that are not in use and were surplus for long enough. */
    fun review(reduction: Reduction, surplus: List<GroupName>) {
        val roles = reduction.state.fleet.roles
        val since = surplus.associateWith { roles.surplusSince[it] ?: reduction.now }
        val delay = reduction.settings.homes.retirementDelay
        val retiring = surplus.filter { reduction.now - since.getValue(it) >= delay && !isInUse(reduction, it) }
        val earlier = if (roles.retiredRevision == ownRevision(reduction)) roles.retired else emptySet()
        for (group in retiring.filter { it !in earlier }) {
            reduction.log("home retired", "group" to group)
            ConnectionPools.closeAll(reduction, group)
        }
        updateRoles(reduction) {
            it.copy(
                surplusSince = since,
                retired = earlier + retiring,
                retiredRevision = ownRevision(reduction)
            )
        }
    }

    private fun isInUse(reduction: Reduction, group: GroupName): Boolean =
        group in reduction.state.waiting ||
            reduction.group(group).change != null ||
            reduction.state.connections.values.any { it.group == group && it.heldBy != null }

    /** The groups of which this proxy holds server connections for statements or transactions. */
    fun groupsInUse(reduction: Reduction): Set<GroupName> =
        reduction.state.connections.values
            .filter { it.heldBy != null }
            .map { it.group }
            .toSet()

    /** Key of this proxy's record. */
    fun ownKey(reduction: Reduction) = FleetKey.proxy(reduction.state.self.identity.node)

    /** Revision of this proxy's record as last read. */
    fun ownRevision(reduction: Reduction): Revision? =
        reduction.state.fleet.records[ownKey(reduction)]?.revision

    /** Replaces the roles with the result of [change]. */
    fun updateRoles(reduction: Reduction, change: (HomeRoles) -> HomeRoles) {
        val fleet = reduction.state.fleet
        reduction.state = reduction.state.copy(fleet = fleet.copy(roles = change(fleet.roles)))
    }
}
