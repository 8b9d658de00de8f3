package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.ConnectionCondition
import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step

/** Assigns idle connections to waiting attempts, and opens connections for the remaining waiters. */
internal object ConnectionDispatch {
    /** Handles the return of a granted connection: keeps it if clean, else closes it. */
    fun onConnectionReturned(
        state: ProxyState,
        number: ConnectionNumber,
        condition: ConnectionCondition,
        now: MonotonicTime,
    ): Step {
        val connection = state.pools.connections[number]
        val use = connection?.use as? ConnectionUse.Granted ?: return Step(state)
        return when (condition) {
            ConnectionCondition.CLEAN -> {
                val permits = state.pools.permits.release(use.caller)
                val released = state.copy(pools = state.pools.copy(permits = permits))
                ConnectionLifecycle.makeIdle(released, connection, now)
            }
            ConnectionCondition.DOUBTFUL ->
                ConnectionRemoval
                    .close(state, number)
                    .then { ConnectionHealthChecks.scheduleIdleChecks(it, connection.server) }
                    .then { ShareRelease.connectionReleased(it, connection.server) }
        }.then { dispatch(it, connection.server, now) }
            .then { dispatchCaller(it, use.caller, now) }
    }

    /** Grants idle connections of [server] to its waiters, and opens more within this process's allowance. */
    fun dispatch(state: ProxyState, server: ServerName, now: MonotonicTime): Step {
        var step = Step(state)
        var next = nextGrant(state, server, now)
        while (next != null) {
            val (waiter, connection) = next
            step = step.then { grant(it, server, waiter, connection) }
            next = nextGrant(step.state, server, now)
        }
        return step
            .then { openConnections(it, server, now) }
            .then { PermitBorrowing.request(it, it.pools.pools[server]?.queue?.callers.orEmpty(), now) }
    }

    /** Dispatches connections of every server of [database]. */
    fun dispatchDatabase(state: ProxyState, database: DatabaseName, now: MonotonicTime): Step =
        state.pools.pools.values
            .filter { it.database == database }
            .fold(Step(state)) { step, pool -> step.then { dispatch(it, pool.server, now) } }

    /** Dispatches connections of the servers for which [caller] waits, after it was granted permits. */
    fun dispatchCaller(state: ProxyState, caller: CallerName, now: MonotonicTime): Step =
        state.pools.pools.values
            .filter { it.queue.count(caller) > 0 }
            .fold(Step(state)) { step, pool -> step.then { dispatch(it, pool.server, now) } }

    private fun nextGrant(
        state: ProxyState,
        server: ServerName,
        now: MonotonicTime,
    ): Pair<Waiter, ConnectionNumber>? {
        val pool = state.pools.pools[server]
        val connection = pool?.idle?.lastOrNull()
        val waiter = pool?.queue?.poll { state.pools.permits.available(it, now) > 0 }?.first
        return if (connection == null || waiter == null) null else waiter to connection
    }

    private fun grant(state: ProxyState, server: ServerName, waiter: Waiter, number: ConnectionNumber): Step {
        val pool = state.pools.pools.getValue(server)
        val queue = pool.queue.poll { it == waiter.caller }!!.second
        val connection = state.pools.connections.getValue(number)
        val pools =
            state.pools
                .with(pool.copy(idle = pool.idle.remove(number), queue = queue))
                .with(connection.copy(use = ConnectionUse.Granted(waiter.attempt, waiter.caller)))
        return Step(state.copy(pools = pools.copy(permits = pools.permits.acquire(waiter.caller))))
            .withSignals(Signal.ConnectionGranted(waiter.attempt, number))
    }

    private fun openConnections(state: ProxyState, server: ServerName, now: MonotonicTime): Step {
        val pool = state.pools.pools[server]
        val mayOpen = pool != null && (pool.openRetryAt == null || now >= pool.openRetryAt)
        if (pool == null || !mayOpen) return Step(state)
        val permitted =
            pool.queue.callers.sumOf { minOf(pool.queue.count(it), maxOf(0, state.pools.permits.available(it, now))) }
        val room = (state.pools.allowances[server] ?: 0) - pool.connections.size
        val missing = minOf(permitted - pool.idle.size - pool.opening, room)
        return (0 until missing).fold(Step(state)) { step, _ ->
            step.then { ConnectionLifecycle.open(it, it.pools.pools.getValue(server), now) }
        }
    }
}
