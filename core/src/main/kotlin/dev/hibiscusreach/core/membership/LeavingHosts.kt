package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** The leaving hosts that one watcher read from the platform's list. */
data class LeavingHostsReport(val servers: Set<ServerName>, val proxies: Set<Endpoint>, val receivedAt: MonotonicTime) {
    /** Whether no host is leaving. */
    val isEmpty: Boolean get() = servers.isEmpty() && proxies.isEmpty()
}

/**
 * Leaving hosts reported by the watchers of this process's failure domain. The list lags by a different time for each
 * reader, so a host counts as leaving while any recent report names it.
 */
data class LeavingHosts(val reports: PersistentMap<NodeIdentity, LeavingHostsReport> = persistentMapOf()) {
    /** Backend servers that are leaving. */
    val servers: Set<ServerName> = reports.values.flatMapTo(mutableSetOf()) { it.servers }

    /** Peer endpoints of proxies on hosts that are leaving. */
    val proxies: Set<Endpoint> = reports.values.flatMapTo(mutableSetOf()) { it.proxies }

    /** Replaces the report of [reporter]. */
    internal fun with(reporter: NodeIdentity, report: LeavingHostsReport): LeavingHosts =
        LeavingHosts(reports.put(reporter, report))

    /** Removes reports that their watcher has not renewed. */
    internal fun expire(now: MonotonicTime): LeavingHosts {
        val expired = reports.filterValues { now - it.receivedAt > REPORT_VALIDITY }.keys
        return if (expired.isEmpty()) this else LeavingHosts(expired.fold(reports) { map, node -> map.remove(node) })
    }

    private companion object {
        // Three periods of the host list, so that one lost report does not make a leaving host eligible for new work.
        val REPORT_VALIDITY: Millis = 30.seconds
    }
}
