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

/** The whole state of the decisions on sessions. */
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
    /** Connections of each server, so that a look-up does not pass over all of them. */
    val pools: PersistentMap<ServerName, PersistentSet<ConnectionNumber>> = persistentMapOf(),
    val health: PersistentMap<ServerName, ServerHealth> = persistentMapOf(),
    val nextConnection: Long = 1,
    val stoppingSince: MonotonicTime? = null,
    /** When the proxy stopped accepting sessions. */
    val listeningUntil: MonotonicTime? = null,
    val exited: Boolean = false,
) {
    /** Whether new callers can be served here. */
    val ready: Boolean
        get() = stoppingSince == null && configuration != null && serversKnown && fleet.registered

    /** The server called [name], if it is registered. */
    fun server(name: ServerName): RegisteredServer? = servers[name]?.server
}

/** A session that arrived before the first configuration. */
data class ArrivingSession(val number: SessionNumber, val database: DatabaseName, val since: MonotonicTime)

/** A registered server, and since when its entry is missing. */
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
    /** When the promoter's record was first seen with its present revision. */
    val promoterSeenAt: MonotonicTime? = null,
    /** Peers that wait for the next read, with the time at which they asked. */
    val relays: Map<PeerRequestNumber, MonotonicTime> = emptyMap(),
    /** When each expelled proxy was first seen as such; its lease ends a lease duration later. */
    val expelledSince: Map<FleetKey, MonotonicTime> = emptyMap(),
    /** What the other proxies answered to pings. */
    val peers: Map<Endpoint, PeerView> = emptyMap(),
    val pingedAt: MonotonicTime? = null,
    val nextPing: Int = 0,
) {
    /** The proxies that are not expelled, by their key; looked at for each statement that opens a connection. */
    val members: Map<FleetKey, FleetRecord.Proxy> by lazy {
        records
            .mapNotNull { (key, stored) -> (stored.record as? FleetRecord.Proxy)?.let { key to it } }
            .filter { !it.second.expelled }
            .toMap()
    }
}

/** What a peer answered to pings. */
data class PeerView(val answeredAt: MonotonicTime?, val misses: Int = 0, val missingSince: MonotonicTime? = null)
