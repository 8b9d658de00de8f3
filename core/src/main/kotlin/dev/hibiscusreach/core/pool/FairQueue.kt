package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.AttemptNumber
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.MonotonicTime
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/** An attempt that waits for a connection. */
data class Waiter(val attempt: AttemptNumber, val caller: CallerName, val waitUntil: MonotonicTime)

/** The attempts that wait for connections to one server, served round robin across callers. */
data class FairQueue(
    private val byCaller: PersistentMap<CallerName, PersistentList<Waiter>> = persistentMapOf(),
    /** Callers with waiters, in the order in which they are served. */
    private val order: PersistentList<CallerName> = persistentListOf(),
    val size: Int = 0,
) {
    /** Whether the queue has no waiters. */
    val isEmpty: Boolean get() = size == 0

    /** Callers with waiters, in the order in which they are served. */
    val callers: List<CallerName> get() = order

    /** All waiters, grouped by caller; not in the order of service. */
    val waiters: List<Waiter> get() = byCaller.values.flatten()

    /** The number of waiters of [caller]. */
    fun count(caller: CallerName): Int = byCaller[caller]?.size ?: 0

    /** This queue with [waiter] behind the other waiters of its caller. */
    fun add(waiter: Waiter): FairQueue {
        val own = byCaller[waiter.caller]
        return FairQueue(
            byCaller = byCaller.put(waiter.caller, (own ?: persistentListOf()).add(waiter)),
            order = if (own == null) order.add(waiter.caller) else order,
            size = size + 1,
        )
    }

    /** The next waiter whose caller passes [isEligible], with the queue that remains; null if there is none. */
    fun poll(isEligible: (CallerName) -> Boolean): Pair<Waiter, FairQueue>? {
        val caller = order.firstOrNull(isEligible) ?: return null
        val waiter = byCaller.getValue(caller).first()
        val rest = remove(waiter)
        val rotated = if (rest.count(caller) > 0) rest.order.remove(caller).add(caller) else rest.order
        return waiter to rest.copy(order = rotated)
    }

    /** This queue without [waiter]; unchanged if it does not wait. */
    fun remove(waiter: Waiter): FairQueue {
        val own = byCaller[waiter.caller] ?: return this
        val rest = own.remove(waiter)
        return FairQueue(
            byCaller = if (rest.isEmpty()) byCaller.remove(waiter.caller) else byCaller.put(waiter.caller, rest),
            order = if (rest.isEmpty()) order.remove(waiter.caller) else order,
            size = size - (own.size - rest.size),
        )
    }

    /** The waiter to evict when the queue is full: the latest one of the caller with the most waiters. */
    fun evictionCandidate(): Waiter? = byCaller.values.maxByOrNull { it.size }?.last()
}
