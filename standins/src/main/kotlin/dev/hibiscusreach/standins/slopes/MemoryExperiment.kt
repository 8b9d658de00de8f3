package dev.hibiscusreach.standins.slopes

import dev.hibiscusreach.core.reducer.ProxyState

/** Heap retained by the state of one proxy. */
internal class MemoryExperiment(private val repetitions: Int) {
    fun run(): List<Series> {
        // The first collections also free what earlier experiments left behind.
        CostMeter.retainedBytes { LoneProxy(PEERS.first()).proxy.state }
        return measured()
    }

    private fun measured(): List<Series> =
        series(PEERS, "peers") { LoneProxy(it).proxy.state } +
            series(DATABASES, "databases known") { loaded(databases = it, callers = 1) } +
            series(CALLERS, "callers with a rule") { loaded(databases = 0, callers = it) } +
            series(REQUESTS, "requests in flight that wait for a primary", ::waiting) +
            series(CONNECTIONS, "requests in flight, each with a pooled connection", ::connected)

    private fun series(sizes: List<Int>, variable: String, build: (Int) -> ProxyState): List<Series> {
        val quantity = Quantity("retained heap", "B", variable)
        return repeated(sizes, repetitions) { size, _ ->
            mapOf(quantity to CostMeter.retainedBytes { build(size) })
        }
    }

    private fun loaded(databases: Int, callers: Int): ProxyState {
        val lone = LoneProxy(nodes = 2)
        lone.load(Deployment.decoded(Deployment.configuration(databases, nodes = 2, callers, remote = true)))
        return lone.proxy.state
    }

    private fun waiting(requests: Int): ProxyState {
        val lone = LoneProxy(nodes = 2)
        lone.load(Deployment.configuration(databases = 1, nodes = 2))
        val proxy = lone.proxy
        repeat(requests) { proxy.deliver(arrival(it, "database-0")) }
        check(proxy.state.requests.pending.size == requests) { "${proxy.state.requests.pending.size} requests wait" }
        return proxy.state
    }

    // The queue of a server is bounded, so that requests arrive in batches with time for connections to open.
    private fun connected(requests: Int): ProxyState {
        val configuration = Deployment.configuration(databases = 1, nodes = 1, connectionLimit = 2 * requests)
        val fleet = SimulatedFleet(nodes = 1, configuration, seed = 1)
        fleet.start(SETTLE_MILLIS)
        val proxy = fleet.proxies.single()
        for (batch in (0 until requests).chunked(BATCH)) {
            batch.forEach { proxy.deliver(arrival(it, "database-0")) }
            fleet.time.advance(BATCH_MILLIS)
        }
        val open = proxy.state.pools.connections.size
        check(open == requests) { "$open connections for $requests requests" }
        return proxy.state
    }

    private companion object {
        val PEERS = listOf(500, 1000, 2000, 4000)
        val DATABASES = listOf(400, 800, 1600, 3200)
        val CALLERS = listOf(1000, 2000, 4000, 8000)
        val REQUESTS = listOf(1000, 2000, 4000, 8000)
        val CONNECTIONS = listOf(500, 1000, 2000, 4000)
        const val SETTLE_MILLIS = 15_000L
        const val BATCH = 50
        const val BATCH_MILLIS = 8L
    }
}
