package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.AttemptNumber
import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.event.DrainPhase
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf

/** State of the requests in flight, open transactions, retry budgets and the graceful shutdown. */
data class RequestsState(
    val drainPhase: DrainPhase = DrainPhase.SERVING,
    /** Every request that is not answered yet, by arrival number. */
    val pending: PersistentMap<ArrivalNumber, PendingRequest> = persistentMapOf(),
    /** Index of [pending] by what the phases wait for. */
    val phaseIndex: PhaseIndex = PhaseIndex(),
    /** Open interactive transactions by identifier. */
    val transactions: PersistentMap<String, OpenTransaction> = persistentMapOf(),
    /** Identifiers of the open transactions by the connection that each one is pinned to. */
    val pinnedConnections: PersistentMap<ConnectionNumber, String> = persistentMapOf(),
    /** Time at which each peer was last found to be unreachable. */
    val unreachablePeers: PersistentMap<NodeIdentity, MonotonicTime> = persistentMapOf(),
    /** Time at which a graceful shutdown ends the open transactions; null before [DrainPhase.FINISHING]. */
    val drainDeadline: MonotonicTime? = null,
    val retryBudgets: PersistentMap<DatabaseName, RetryBudget> = persistentMapOf(),
    /** The last number assigned to an attempt, a forwarded request or a transaction. */
    val lastNumber: Long = 0,
)

/** Index of the pending requests by what their phases wait for, so that no event scans all requests. */
data class PhaseIndex(
    val byAttempt: PersistentMap<AttemptNumber, ArrivalNumber> = persistentMapOf(),
    val byConnection: PersistentMap<ConnectionNumber, ArrivalNumber> = persistentMapOf(),
    val byForward: PersistentMap<ArrivalNumber, ArrivalNumber> = persistentMapOf(),
    val byPeer: PersistentMap<NodeIdentity, PersistentSet<ArrivalNumber>> = persistentMapOf(),
    val waitingByDatabase: PersistentMap<DatabaseName, PersistentSet<ArrivalNumber>> = persistentMapOf(),
)
