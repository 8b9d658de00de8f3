package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.AttemptNumber
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step

/** Manages the attempts that wait for connections. */
internal object ConnectionQueue {
    /** Queues an attempt; denies it if this process does not hold the share. A full queue evicts one waiter. */
    fun enqueue(state: ProxyState, request: Signal.ConnectionRequested, now: MonotonicTime): Step {
        val database = state.configuration.index.groupOf(request.server)?.name
        val role = database?.let { state.pools.roles[it] }
        if (role == null || role is ShareRole.Releasing) {
            return deny(Step(state), request.attempt, ErrorKind.SERVER_UNREACHABLE)
        }
        val pool = state.pools.pools[request.server] ?: ServerPool(request.server, database)
        val waitUntil = minOf(request.waitUntil, now + state.settings.pool.queueWait)
        val queue = pool.queue.add(Waiter(request.attempt, request.caller, waitUntil))
        val evicted = queue.evictionCandidate().takeIf { queue.size > state.settings.pool.queueLimit }
        val kept = if (evicted == null) queue else queue.remove(evicted)
        val queued = Step(state.copy(pools = state.pools.with(pool.copy(queue = kept))))
        val limited = if (evicted == null) queued else deny(queued, evicted.attempt, ErrorKind.OVERLOADED)
        return limited.then { ConnectionDispatch.dispatch(it, request.server, now) }
    }

    /** Removes an attempt from its queue; does nothing if it is not queued. */
    fun cancel(state: ProxyState, attempt: AttemptNumber): Step {
        val found =
            state.pools.pools.values.firstNotNullOfOrNull { pool ->
                pool.queue.waiters.find { it.attempt == attempt }?.let { pool to it }
            }
        return if (found == null) Step(state) else Step(withoutWaiter(state, found.first, found.second))
    }

    /** Denies the attempts whose wait has expired, and dispatches again where connections can be opened. */
    fun maintain(state: ProxyState, now: MonotonicTime): Step =
        state.pools.pools.values
            .filter { !it.queue.isEmpty }
            .fold(Step(state)) { step, pool ->
                pool.queue.waiters
                    .filter { now >= it.waitUntil }
                    .fold(step) { expired, waiter -> expired.then { expire(it, pool.server, waiter, now) } }
                    .then { ConnectionDispatch.dispatch(it, pool.server, now) }
            }

    /** Denies all attempts that wait for [server], with [kind] as the reason. */
    fun denyAll(state: ProxyState, server: ServerName, kind: ErrorKind): Step {
        val pool = state.pools.pools[server] ?: return Step(state)
        val emptied = Step(state.copy(pools = state.pools.with(pool.copy(queue = FairQueue()))))
        return pool.queue.waiters.fold(emptied) { step, waiter -> deny(step, waiter.attempt, kind) }
    }

    private fun expire(state: ProxyState, server: ServerName, waiter: Waiter, now: MonotonicTime): Step {
        val pool = state.pools.pools[server]
        val isWaiting = pool != null && waiter in pool.queue.waiters
        val hasPermit = state.pools.permits.available(waiter.caller, now) > 0
        val kind = if (hasPermit) ErrorKind.OVERLOADED else ErrorKind.CALLER_LIMIT_REACHED
        return if (pool != null && isWaiting) {
            deny(Step(withoutWaiter(state, pool, waiter)), waiter.attempt, kind)
        } else {
            Step(state)
        }
    }

    private fun withoutWaiter(state: ProxyState, pool: ServerPool, waiter: Waiter): ProxyState =
        state.copy(pools = state.pools.with(pool.copy(queue = pool.queue.remove(waiter))))

    private fun deny(step: Step, attempt: AttemptNumber, kind: ErrorKind): Step =
        step.withSignals(Signal.ConnectionDenied(attempt, kind))
}
