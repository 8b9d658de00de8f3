package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Leaving hosts as one watcher read them from the platform's list. */
data class LeavingReport(val servers: Set<ServerName>, val proxies: Set<Endpoint>, val receivedAt: MonotonicTime) {
    /** Whether no host is leaving. */
    val isEmpty: Boolean get() = servers.isEmpty() && proxies.isEmpty()
}

/**
 * Leaving hosts as reported by the watchers of the own failure domain. The list lags differently for each reader, so a
 * host counts as leaving while any recent report names it.
 */
data class LeavingHosts(val reports: PersistentMap<NodeIdentity, LeavingReport> = persistentMapOf()) {
    /** Backend servers that are leaving. */
    val servers: Set<ServerName> = reports.values.flatMapTo(mutableSetOf()) { it.servers }

    /** Peer endpoints of proxies on hosts that are leaving. */
    val proxies: Set<Endpoint> = reports.values.flatMapTo(mutableSetOf()) { it.proxies }

    internal fun with(reporter: NodeIdentity, report: LeavingReport): LeavingHosts =
        LeavingHosts(reports.put(reporter, report))

    /** Drops reports that their watcher no longer confirms. */
    internal fun expire(now: MonotonicTime): LeavingHosts {
        val expired = reports.filterValues { now - it.receivedAt > REPORT_VALIDITY }.keys
        return if (expired.isEmpty()) this else LeavingHosts(expired.fold(reports) { map, node -> map.remove(node) })
    }

    private companion object {
        // Three periods of the host list: a single lost report does not put a leaving host back to work.
        val REPORT_VALIDITY: Millis = 30.seconds
    }
}
