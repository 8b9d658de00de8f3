package dev.hibiscusreach.systemtests.fleet

import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.Endpoint

/** Watches the limits of callers and the generations of proxies while a scenario runs. */
class LimitCheck(private val fleet: Fleet) {
    private val found = linkedSetOf<String>()
    private val generations = mutableMapOf<Endpoint, Pair<FakeProxy, Long>>()

    /** What was violated. */
    val violations: List<String> get() = found.toList()

    /** Looks at the fleet every few milliseconds. */
    fun start() {
        fleet.schedule.afterMillis(PERIOD_MILLIS) {
            checkCallers()
            checkGenerations()
            start()
        }
    }

    // A paused process cannot give its permits back; its statements are over, and it drops them when it goes on.
    private fun checkCallers() {
        val running = fleet.running().filter { !it.isPaused }
        fleet.deployment.configuration.rules.callers.forEach { rule ->
            val used = running.sumOf { inUse(it, rule.caller) }
            val limit = rule.connectionLimit
            if (used > limit) found += "${rule.caller} holds $used of $limit connections"
        }
    }

    private fun inUse(proxy: FakeProxy, caller: CallerName): Int =
        proxy.state.pools.permits.leases[caller]?.inUse ?: 0

    private fun checkGenerations() {
        fleet.proxies.forEach { (endpoint, proxy) ->
            val generation = proxy.state.configuration.index.generation
            val earlier = generations[endpoint]?.takeIf { it.first === proxy }?.second ?: 0
            if (generation < earlier) found += "$endpoint went from generation $earlier to $generation"
            generations[endpoint] = proxy to generation
        }
    }

    private companion object {
        const val PERIOD_MILLIS = 10L
    }
}
