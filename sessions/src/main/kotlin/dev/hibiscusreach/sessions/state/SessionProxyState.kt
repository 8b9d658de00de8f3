package dev.hibiscusreach.sessions.state

import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.allowance.AllowanceState
import dev.hibiscusreach.sessions.event.PeerRequestNumber
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.model.Revision
import dev.hibiscusreach.sessions.model.RoutingConfiguration
import dev.hibiscusreach.sessions.tenant.ApiKey
import dev.hibiscusreach.sessions.tenant.FairSchedule
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
    /** When [configuration] came into force here; null before the first one. */
    val configurationInForceSince: MonotonicTime? = null,
    /** When the latest read of the configuration was sent; versions that were accepted before are known. */
    val configurationConfirmedAt: MonotonicTime? = null,
    /** When the store itself was last asked because the configuration was too old; null before the first review. */
    val configurationVerifiedAt: MonotonicTime? = null,
    /** Why the latest configuration cannot be read although the store answers; null if it can. */
    val configurationFault: ConfigurationFault? = null,
    val serversKnown: Boolean = false,
    val servers: PersistentMap<ServerName, KnownServer> = persistentMapOf(),
    val fleet: FleetView = FleetView(),
    val allowances: AllowanceState = AllowanceState(),
    val groups: PersistentMap<GroupName, GroupView> = persistentMapOf(),
    val sessions: PersistentMap<SessionNumber, Session> = persistentMapOf(),
    /** Bytes of values and prepared statements of all [sessions]. */
    val keptBytes: Long = 0,
    /** The same by the address of the callers, for sessions whose address is known. */
    val keptByOrigin: KeptByOrigin = KeptByOrigin(),
    /** Sessions that wait for the first configuration, in order of arrival. */
    val arriving: PersistentList<ArrivingSession> = persistentListOf(),
    /** Sessions with a pending statement or a running transaction. */
    val active: PersistentSet<SessionNumber> = persistentSetOf(),
    /** Sessions whose statement waits for a connection, in order of arrival. */
    val waiting: PersistentMap<GroupName, PersistentList<SessionNumber>> = persistentMapOf(),
    val connections: PersistentMap<ConnectionNumber, ServerConnection> = persistentMapOf(),
    /** Connections by server, so that a lookup does not scan [connections]. */
    val pools: PersistentMap<ServerName, PersistentSet<ConnectionNumber>> = persistentMapOf(),
    /** When connections were closed that their servers may still count, by server; only with tenants. */
    val closing: PersistentMap<ServerName, PersistentList<MonotonicTime>> = persistentMapOf(),
    /** The turns of the tenants at the connections of each group; only with tenants. */
    val schedules: PersistentMap<GroupName, FairSchedule> = persistentMapOf(),
    val health: PersistentMap<ServerName, ServerHealth> = persistentMapOf(),
    val selection: SelectionState = SelectionState(),
    val nextConnection: Long = 1,
    /** When the configuration was last read because a peer knows a newer version. */
    val configurationAskedAt: MonotonicTime? = null,
    /** Whether the timer of requests is running; it runs only while it is needed. */
    val requestTimerRuns: Boolean = false,
    val stoppingSince: MonotonicTime? = null,
    /** When the proxy stopped accepting sessions. */
    val listeningUntil: MonotonicTime? = null,
    val exited: Boolean = false,
) {
    /** Whether this proxy can serve: it is not stopping, and has read what it needs for that. */
    val serving: Boolean
        get() = stoppingSince == null && configuration != null && serversKnown && fleet.registered

    /** Whether new callers should come to this proxy; not while it knows that it cannot follow the configuration. */
    val ready: Boolean get() = serving && configurationFault == null

    /** The registered server with this name; null if there is none. */
    fun server(name: ServerName): RegisteredServer? = servers[name]?.server
}

/** A session that arrived before the first configuration. */
data class ArrivingSession(
    val number: SessionNumber,
    val database: DatabaseName,
    val key: ApiKey?,
    val since: MonotonicTime,
    /** The address of the caller; null if it is not known. */
    val origin: String? = null,
)

/** The configuration cannot be followed: the answers of the store cannot be used. */
data class ConfigurationFault(val reason: String, val since: MonotonicTime)

/** A registered server. */
data class KnownServer(
    val server: RegisteredServer,
    /** When its entry was first missing; null if the entry is present. */
    val missingSince: MonotonicTime? = null,
    /** When it was first reported as leaving; null if it is not. */
    val leavingSince: MonotonicTime? = null,
)

/** The fleet's records as last read. */
data class FleetView(
    val records: FleetRecords = FleetRecords(emptyMap()),
    /** When the latest read that showed this proxy's own record was sent. */
    val leaseFrom: MonotonicTime? = null,
    /** When the lease became valid that has not expired since. */
    val leaseValidSince: MonotonicTime? = null,
    val readAt: MonotonicTime? = null,
    /** When the latest read was sent. */
    val readSentAt: MonotonicTime? = null,
    /** The store's era as of the latest read; null before the first one. */
    val era: StoreEra? = null,
    val source: StoreSource = StoreSource(),
    val registered: Boolean = false,
    val reading: Boolean = false,
    /** Whether another read is wanted after the one in flight. */
    val readAgain: Boolean = false,
    val storeLost: Boolean = false,
    /** When the promoter record was first seen with its current revision. */
    val promoterSeenAt: MonotonicTime? = null,
    /** Groups of which this proxy has requested a promotion that has no outcome yet. */
    val promotionsRequested: Set<GroupName> = emptySet(),
    /** Peer requests to be answered from the next read, with their times of arrival. */
    val relays: Map<PeerRequestNumber, MonotonicTime> = emptyMap(),
    /** When each proxy was first seen as expelled; its lease has expired one lease duration later. */
    val expelledSince: Map<FleetKey, MonotonicTime> = emptyMap(),
    /** Ping results of the other proxies. */
    val peers: Map<Endpoint, PeerView> = emptyMap(),
    val pingedAt: MonotonicTime? = null,
    val nextPing: Int = 0,
    /** When statements could last not be forwarded to a home, by its peer endpoint. */
    val unreachableHomes: PersistentMap<Endpoint, MonotonicTime> = persistentMapOf(),
    val roles: HomeRoles = HomeRoles(),
) {
    /** The proxies that are not expelled, by key. */
    val members: Map<FleetKey, FleetRecord.Proxy> get() = records.members
}

/** An era of the store; a store that is restored from a copy enters the next one. */
data class StoreEra(
    val number: Long,
    /** When this proxy first read records of the era. */
    val since: MonotonicTime,
    /** When this proxy last wrote that the era is settled. */
    val recordWrittenAt: MonotonicTime? = null,
)

/** Where the store's objects are read. */
data class StoreSource(
    /** The peer through which they are read; null for the store itself. */
    val peer: Endpoint? = null,
    /** When the source was selected; null before the first read. */
    val since: MonotonicTime? = null,
    /** Sources that have failed one after another. */
    val failures: Int = 0,
    /** Whether [peer] tells at once that its own reads fail. */
    val promptly: Boolean = false,
)

/** The groups that this proxy serves as a home, beside those that its own record names. */
data class HomeRoles(
    /** When this proxy stopped ranking among the homes of a group that its record names. */
    val surplusSince: Map<GroupName, MonotonicTime> = emptyMap(),
    /** Groups whose servers this proxy uses no longer; they are removed from its record next. */
    val retired: Set<GroupName> = emptySet(),
    /** Revision of the proxy's own record when [retired] was last updated. */
    val retiredRevision: Revision? = null,
    /** When the proxy's own record was last written; null if the write has ended. */
    val writtenAt: MonotonicTime? = null,
    /** The records and the configuration by which the roles were last reviewed. */
    val reviewedRecords: FleetRecords? = null,
    val reviewedConfiguration: RoutingConfiguration? = null,
) {
    /** Whether nothing is in progress that has to be reviewed again. */
    val isSettled: Boolean get() = surplusSince.isEmpty() && retired.isEmpty() && writtenAt == null
}

/** Ping results of one peer. */
data class PeerView(val answeredAt: MonotonicTime?, val misses: Int = 0, val missingSince: MonotonicTime? = null)
