package dev.hibiscusreach.sessions.state

import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.PeerRequestNumber
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.model.RoutingConfiguration
import dev.hibiscusreach.sessions.model.StoredRecord
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** The complete state of the reducer. */
data class SessionProxyState(
    val self: LocalProxy,
    val settings: SessionSettings = SessionSettings(),
    val configuration: RoutingConfiguration? = null,
    val serversKnown: Boolean = false,
    val servers: PersistentMap<ServerName, KnownServer> = persistentMapOf(),
    val fleet: FleetView = FleetView(),
    val groups: PersistentMap<GroupName, GroupView> = persistentMapOf(),
    val sessions: PersistentMap<SessionNumber, Session> = persistentMapOf(),
    /** Sessions that wait for the first configuration, in order of arrival. */
    val arriving: PersistentList<ArrivingSession> = persistentListOf(),
    /** Sessions with a pending statement or a running transaction. */
    val active: PersistentSet<SessionNumber> = persistentSetOf(),
    /** Sessions whose statement waits for a connection, in order of arrival. */
    val waiting: PersistentMap<GroupName, PersistentList<SessionNumber>> = persistentMapOf(),
    val connections: PersistentMap<ConnectionNumber, ServerConnection> = persistentMapOf(),
    /** Connections by server, so that a lookup does not scan [connections]. */
    val pools: PersistentMap<ServerName, PersistentSet<ConnectionNumber>> = persistentMapOf(),
    val health: PersistentMap<ServerName, ServerHealth> = persistentMapOf(),
    val nextConnection: Long = 1,
    val stoppingSince: MonotonicTime? = null,
    /** When the proxy stopped accepting sessions. */
    val listeningUntil: MonotonicTime? = null,
    val exited: Boolean = false,
) {
    /** Whether this proxy can serve new callers. */
    val ready: Boolean
        get() = stoppingSince == null && configuration != null && serversKnown && fleet.registered

    /** The registered server with this name; null if there is none. */
    fun server(name: ServerName): RegisteredServer? = servers[name]?.server
}

/** A session that arrived before the first configuration. */
data class ArrivingSession(val number: SessionNumber, val database: DatabaseName, val since: MonotonicTime)

/** A registered server, and when its entry was first missing; null if the entry is present. */
data class KnownServer(val server: RegisteredServer, val missingSince: MonotonicTime? = null)

/** The fleet's records as last read. */
data class FleetView(
    val records: Map<FleetKey, StoredRecord> = emptyMap(),
    /** When the latest read that showed this proxy's own record was sent. */
    val leaseFrom: MonotonicTime? = null,
    val readAt: MonotonicTime? = null,
    val registered: Boolean = false,
    val reading: Boolean = false,
    /** Whether another read is wanted after the one in flight. */
    val readAgain: Boolean = false,
    val storeLost: Boolean = false,
    /** When the promoter record was first seen with its current revision. */
    val promoterSeenAt: MonotonicTime? = null,
    /** Peer requests to be answered from the next read, with their times of arrival. */
    val relays: Map<PeerRequestNumber, MonotonicTime> = emptyMap(),
    /** When each proxy was first seen as expelled; its lease has expired one lease duration later. */
    val expelledSince: Map<FleetKey, MonotonicTime> = emptyMap(),
    /** Ping results of the other proxies. */
    val peers: Map<Endpoint, PeerView> = emptyMap(),
    val pingedAt: MonotonicTime? = null,
    val nextPing: Int = 0,
) {
    /** The proxies that are not expelled, by key. Cached, because every check of a connection limit needs them. */
    val members: Map<FleetKey, FleetRecord.Proxy> by lazy {
        records
            .mapNotNull { (key, stored) -> (stored.record as? FleetRecord.Proxy)?.let { key to it } }
            .filter { !it.second.expelled }
            .toMap()
    }
}

/** Ping results of one peer. */
data class PeerView(val answeredAt: MonotonicTime?, val misses: Int = 0, val missingSince: MonotonicTime? = null)
