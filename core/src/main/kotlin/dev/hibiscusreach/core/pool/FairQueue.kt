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

/** The waiting attempts of one server, served round robin between callers. */
data class FairQueue(
    private val byCaller: PersistentMap<CallerName, PersistentList<Waiter>> = persistentMapOf(),
    /** Callers that have waiters, the next one to be served first. */
    private val order: PersistentList<CallerName> = persistentListOf(),
    val size: Int = 0,
) {
    /** Whether nobody waits. */
    val isEmpty: Boolean get() = size == 0

    /** The callers that wait, the next one to be served first. */
    val callers: List<CallerName> get() = order

    /** All waiters. */
    val waiters: List<Waiter> get() = byCaller.values.flatten()

    /** The number of waiters of [caller]. */
    fun count(caller: CallerName): Int = byCaller[caller]?.size ?: 0

    /** This queue with [waiter] at the end of its caller's part. */
    fun add(waiter: Waiter): FairQueue {
        val own = byCaller[waiter.caller]
        return FairQueue(
            byCaller = byCaller.put(waiter.caller, (own ?: persistentListOf()).add(waiter)),
            order = if (own == null) order.add(waiter.caller) else order,
            size = size + 1,
        )
    }

    /** Takes the next waiter whose caller passes [isEligible], or null if there is none. */
    fun poll(isEligible: (CallerName) -> Boolean): Pair<Waiter, FairQueue>? {
        val caller = order.firstOrNull(isEligible) ?: return null
        val waiter = byCaller.getValue(caller).first()
        val rest = remove(waiter)
        val rotated = if (rest.count(caller) > 0) rest.order.remove(caller).add(caller) else rest.order
        return waiter to rest.copy(order = rotated)
    }

    /** This queue without [waiter]. */
    fun remove(waiter: Waiter): FairQueue {
        val own = byCaller[waiter.caller] ?: return this
        val rest = own.remove(waiter)
        return FairQueue(
            byCaller = if (rest.isEmpty()) byCaller.remove(waiter.caller) else byCaller.put(waiter.caller, rest),
            order = if (rest.isEmpty()) order.remove(waiter.caller) else order,
            size = size - (own.size - rest.size),
        )
    }

    /** The latest waiter of the caller with the most waiters, who gives way when the queue is full. */
    fun victim(): Waiter? = byCaller.values.maxByOrNull { it.size }?.last()
}
