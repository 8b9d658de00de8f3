package dev.hibiscusreach.systemtests.stops

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.platform.StoreStandIn
import dev.hibiscusreach.systemtests.processes.ChildProcesses
import dev.hibiscusreach.systemtests.processes.FreePorts
import dev.hibiscusreach.systemtests.processes.LoopbackRelay
import dev.hibiscusreach.systemtests.processes.Program
import dev.hibiscusreach.systemtests.processes.awaitTrue
import java.io.IOException
import java.net.HttpURLConnection
import java.net.URI
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.io.path.writeText

/**
 * Proxies of the users' platform, each a process of its own, on a store that stands in. They are dealt out to [domains]
 * failure domains. Each reaches the store and the promotions through relays of its own.
 */
internal class ProxyFleet(
    private val folder: Path,
    count: Int,
    classPath: String?,
    private val domains: Int = 1,
    /** Where promotions are requested; null if no server is promoted. */
    promotions: Endpoint? = null,
    /** Whether the proxies reach each other through relays, so that they can be cut off from each other. */
    relaysPeers: Boolean = false,
) : AutoCloseable {
    private class Proxy(val node: String, val ports: List<Int>, val domain: String)

    val store = StoreStandIn()
    private val processes = ChildProcesses(folder, classPath)
    private val proxies =
        FreePorts
            .choose(count * PORTS)
            .chunked(PORTS)
            .mapIndexed { index, ports -> Proxy("front-${index + 1}", ports, domainOf(index)) }
            .associateBy { it.node }
    private val relays = proxies.mapValues { LoopbackRelay(store.endpoint.port) }
    private val promotionRelays = proxies.mapValues { LoopbackRelay((promotions ?: store.endpoint).port) }
    private val running = ConcurrentHashMap<String, Process>()

    /** The paths between the proxies; null if they reach each other directly. */
    val peerPaths: PeerPaths? =
        if (relaysPeers) PeerPaths(proxies.mapValues { it.value.ports.last() }) { processNumbers } else null

    val nodes: Set<String> get() = proxies.keys

    /** The processes that were started last, by node. */
    val processNumbers: Map<String, Long> get() = running.mapValues { it.value.pid() }

    /** Starts all proxies and waits until they are ready. */
    fun start() {
        nodes.forEach(::start)
        awaitTrue("all proxies are ready", START_SECONDS) { nodes.all(::isReady) }
    }

    /** Starts the process of [node]. */
    fun start(node: String) {
        val settings = folder.resolve("$node.json")
        settings.writeText(settings(proxies.getValue(node)))
        running[node] = processes.start(node, Program.PLATFORM_PROXY, listOf("--settings", settings.toString()))
    }

    fun signal(node: String, signal: String) = processes.signal(node, signal)

    /** Whether the process of [node] ends within [seconds]. */
    fun awaitEnd(node: String, seconds: Long): Boolean = running.getValue(node).waitFor(seconds, TimeUnit.SECONDS)

    fun kill(node: String) = processes.kill(node)

    fun isAlive(node: String): Boolean = running.getValue(node).isAlive

    fun callerPort(node: String): Int = proxies.getValue(node).ports.first()

    /** The path between [node] and the store. */
    fun pathToStore(node: String): LoopbackRelay = relays.getValue(node)

    /** The path between [node] and the promotions. */
    fun pathToPromotions(node: String): LoopbackRelay = promotionRelays.getValue(node)

    /** Whether the proxy answers its readiness check. */
    fun isReady(node: String): Boolean {
        val address = URI("http://127.0.0.1:${proxies.getValue(node).ports[1]}/ready").toURL()
        return try {
            val connection = address.openConnection() as HttpURLConnection
            connection.connectTimeout = CHECK_MILLIS
            connection.readTimeout = CHECK_MILLIS
            connection.responseCode == HttpURLConnection.HTTP_OK
        } catch (_: IOException) {
            false
        }
    }

    override fun close() {
        processes.close()
        (relays.values + promotionRelays.values).forEach(LoopbackRelay::close)
        peerPaths?.close()
        store.close()
    }

    private fun settings(proxy: Proxy): String {
        val regions = (0 until domains).joinToString { """"${domainOf(it)}":"west"""" }
        val (caller, operations, peer) = proxy.ports.map { "127.0.0.1:$it" }
        val advertised = peerPaths?.let { "127.0.0.1:${it.port(proxy.node)}" } ?: peer
        return """
            {"node":"${proxy.node}","failureDomain":"${proxy.domain}","regions":{$regions},"callerAddress":"$caller",
            "operationsAddress":"$operations","peerAddress":"$peer",
            "advertisedPeerAddress":"$advertised",
            "storeAddress":"127.0.0.1:${pathToStore(proxy.node).port}",
            "promotionAddress":"127.0.0.1:${pathToPromotions(proxy.node).port}","descriptorLimit":4300}
        """.trimIndent()
    }

    private fun domainOf(index: Int) = if (index % domains == 0) "yard" else "yard-${index % domains + 1}"

    private companion object {
        const val PORTS = 3
        const val START_SECONDS = 60
        const val CHECK_MILLIS = 1_000
    }
}
