package dev.hibiscusreach.runtime.operations

import dev.hibiscusreach.core.event.DrainPhase
import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import kotlinx.serialization.Serializable

/** Snapshot of the state of a proxy, for operators and tests. */
@Serializable
data class StateDump(
    val node: NodeIdentity,
    val failureDomain: FailureDomainName,
    val addresses: DumpedAddresses,
    val drainPhase: DrainPhase,
    val ready: Boolean,
    val configuration: DumpedConfiguration,
    val members: List<DumpedMember>,
    val groups: List<DumpedGroup>,
    val connections: DumpedConnections,
    val requests: DumpedRequests,
)

/** Where the process listens. */
@Serializable
data class DumpedAddresses(val caller: Endpoint, val operations: Endpoint, val peer: Endpoint)

/** The configuration in effect. */
@Serializable
data class DumpedConfiguration(
    val generation: Long,
    /** Time since the generation took effect in this process; null while there is none. */
    val ageMillis: Long?,
    val recentChanges: List<String>,
    val databases: Int,
    val callers: Int,
)

/** One other proxy. */
@Serializable
data class DumpedMember(
    val node: NodeIdentity,
    val failureDomain: FailureDomainName,
    val condition: PeerCondition,
    val refutation: Int,
)

/** One database group. */
@Serializable
data class DumpedGroup(
    val database: DatabaseName,
    val term: Term,
    val primary: ServerName?,
    val durable: Position,
    val homes: Map<FailureDomainName, NodeIdentity?>,
    val servers: List<DumpedServer>,
)

/** One backend server. */
@Serializable
data class DumpedServer(
    val name: ServerName,
    val failureDomain: FailureDomainName,
    val connectionLimit: Int,
    val reachable: Boolean?,
    val leaving: Boolean?,
    val applied: Position?,
    val latencyMillis: Long?,
    val warmUpPercent: Int?,
    val freeConnections: Int,
)

/** Open connections of the process. */
@Serializable
data class DumpedConnections(val callers: Int, val servers: Int)

/** Requests in progress. */
@Serializable
data class DumpedRequests(
    /** Requests of callers of this process. */
    val inFlight: Int,
    val waitingEvents: Int,
    val openTransactions: Int,
    /** Requests that this process executes, those that peers forwarded to it included. */
    val byPhase: Map<String, Int>,
)
