package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName

/**
 * Decides which groups this proxy is a home of, and keeps its own record in line. The record names every group whose
 * servers the proxy may use: a group is added before its first use, and removed only after its last one.
 */
internal object HomeAssignment {
    /** The record that this proxy registers with; it may do so again while it uses groups that it is no home of now. */
    fun initialRecord(reduction: Reduction): FleetRecord.Proxy =
        record(reduction, assigned(reduction)?.plus(HomeRetirement.groupsInUse(reduction)))

    /** Retires from groups of which other proxies are homes now, and writes the own record if it has to change. */
    fun review(reduction: Reduction) {
        val own = GroupHomes.ownRecord(reduction)?.takeIf { needsReview(reduction, it) } ?: return
        val assigned = assigned(reduction)
        val surplus = if (assigned == null) emptyList() else surplus(reduction, own, assigned)
        HomeRetirement.review(reduction, surplus)
        val roles = reduction.state.fleet.roles
        val groups = knownGroups(reduction)
        val lacksGroup = groups.any { !own.isHomeOf(it) && (assigned == null || it in assigned) }
        val namesRetired = roles.retired.any { own.isHomeOf(it) }
        if (lacksGroup || namesRetired || isOutdated(reduction, own)) {
            val kept = roles.surplusSince.keys - roles.retired
            write(reduction, record(reduction, assigned?.plus(kept)))
        }
        HomeRetirement.updateRoles(reduction) {
            it.copy(
                reviewedRecords = reduction.state.fleet.records,
                reviewedConfiguration = reduction.state.configuration,
            )
        }
    }

    /** Allows the next write of the own record after the previous one has ended. */
    fun recordWritten(reduction: Reduction) = HomeRetirement.updateRoles(reduction) { it.copy(writtenAt = null) }

    private fun needsReview(reduction: Reduction, own: FleetRecord.Proxy): Boolean {
        val roles = reduction.state.fleet.roles
        val unchanged =
            roles.reviewedRecords === reduction.state.fleet.records &&
                roles.reviewedConfiguration === reduction.state.configuration
        return !unchanged || !roles.isSettled || isOutdated(reduction, own)
    }

    private fun isOutdated(reduction: Reduction, own: FleetRecord.Proxy): Boolean {
        val leaves = reduction.state.stoppingSince != null
        val isTenured = own.tenured == AllowanceOwnership.isTenured(reduction)
        return own.leaving != leaves || own.era < StoreEras.current(reduction) || !isTenured
    }

    private fun record(reduction: Reduction, groups: Set<GroupName>?): FleetRecord.Proxy {
        val self = reduction.state.self
        return FleetRecord.Proxy(
            identity = self.identity,
            peerEndpoint = self.peerEndpoint,
            failureDomain = self.failureDomain,
            groups = groups,
            leaving = reduction.state.stoppingSince != null,
            writes = (GroupHomes.ownRecord(reduction)?.writes ?: 0) + 1,
            era = StoreEras.current(reduction),
            tenured = AllowanceOwnership.isTenured(reduction),
        )
    }

    // Null for all groups: in a small failure domain every proxy is a home of each.
    private fun assigned(reduction: Reduction): Set<GroupName>? {
        val self = reduction.state.self
        val neighbours =
            reduction.state.fleet.members.values
                .filter { it.failureDomain == self.failureDomain && !it.leaving }
                .map { it.peerEndpoint }
                .toSet()
        val candidates: Set<Endpoint> = neighbours + self.peerEndpoint
        val homes = reduction.settings.homes.homesPerDomain
        if (candidates.size <= homes) return null
        return knownGroups(reduction)
            .filter { self.peerEndpoint in GroupHomes.ranked(it, candidates).take(homes) }
            .toSet()
    }

    private fun knownGroups(reduction: Reduction): Set<GroupName> {
        val configured = reduction.state.configuration?.groups?.keys.orEmpty()
        val recorded =
            reduction.state.fleet.records.values
                .mapNotNull { (it.record as? FleetRecord.Group)?.let { record -> GroupName(record.group) } }
        return configured + recorded
    }

    private fun surplus(reduction: Reduction, own: FleetRecord.Proxy, assigned: Set<GroupName>): List<GroupName> =
        knownGroups(reduction).filter { own.isHomeOf(it) && it !in assigned }

    private fun write(reduction: Reduction, record: FleetRecord.Proxy) {
        val writtenAt = reduction.state.fleet.roles.writtenAt
        if (writtenAt != null && reduction.now - writtenAt < reduction.settings.homes.recordTimeout) return
        HomeRetirement.updateRoles(reduction) { it.copy(writtenAt = reduction.now) }
        reduction.log("homes announced", "groups" to (record.groups?.joinToString(" ") ?: "all"))
        reduction.emit(
            SessionEffect.WriteFleet(HomeRetirement.ownKey(reduction), record, HomeRetirement.ownRevision(reduction))
        )
    }
}
