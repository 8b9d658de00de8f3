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

/** The requests in flight, open transactions, retry budgets and the graceful shutdown. */
data class RequestsState(
    val drainPhase: DrainPhase = DrainPhase.SERVING,
    /** Every request that is not answered yet. */
    val pending: PersistentMap<ArrivalNumber, PendingRequest> = persistentMapOf(),
    /** Look-ups into [pending] by what the phases wait for. */
    val index: PhaseIndex = PhaseIndex(),
    /** Open interactive transactions by identifier. */
    val transactions: PersistentMap<String, OpenTransaction> = persistentMapOf(),
    /** The transactions' pinned connections. */
    val pinned: PersistentMap<ConnectionNumber, String> = persistentMapOf(),
    /** When peers were last found to be unreachable. */
    val unreachable: PersistentMap<NodeIdentity, MonotonicTime> = persistentMapOf(),
    /** The end of open transactions in a shutdown, once it is known. */
    val transactionsEndAt: MonotonicTime? = null,
    val budgets: PersistentMap<DatabaseName, RetryBudget> = persistentMapOf(),
    /** The last number given to an attempt, a forwarded request or a transaction. */
    val lastNumber: Long = 0,
)

/** Look-ups of pending requests by what their phases wait for, so that no event needs a search. */
data class PhaseIndex(
    val attempts: PersistentMap<AttemptNumber, ArrivalNumber> = persistentMapOf(),
    val connections: PersistentMap<ConnectionNumber, ArrivalNumber> = persistentMapOf(),
    val forwards: PersistentMap<ArrivalNumber, ArrivalNumber> = persistentMapOf(),
    val peers: PersistentMap<NodeIdentity, PersistentSet<ArrivalNumber>> = persistentMapOf(),
    val waiting: PersistentMap<DatabaseName, PersistentSet<ArrivalNumber>> = persistentMapOf(),
)
