package dev.hibiscusreach.systemtests.processes

import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.ServerStatus
import dev.hibiscusreach.runtime.operations.StateDump
import kotlinx.serialization.json.Json
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Files
import java.time.Duration

/** A proxy of the fleet. */
internal data class FleetProxy(
    val name: String,
    val failureDomain: String,
    val caller: Int,
    val operations: Int,
    val peer: Int,
)

/** A backend server of the fleet. */
internal data class FleetServer(
    val name: String,
    val failureDomain: String,
    val session: Int,
    val control: Int,
    val admin: Int,
)

/** A platform, three backend servers and four proxies in two failure domains, each a process of its own. */
internal class ProcessFleet : AutoCloseable {
    private val folder = Files.createTempDirectory("process-fleet")
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
    private val json = Json { ignoreUnknownKeys = true }
    private val ports = FreePorts.choose(PORT_COUNT).iterator()

    private val platform = ports.next()
    private val platformAdmin = ports.next()

    val processes = ChildProcesses(folder)
    val proxies = PROXY_DOMAINS.mapIndexed { index, domain -> proxy("proxy-$index", domain) }
    val servers = SERVER_DOMAINS.mapIndexed { index, domain -> server("jobs-${index + 1}", domain) }
    val files = FleetFiles(folder, platform, proxies, servers)
    val caller = HttpCaller(FleetFiles.DATABASE, FleetFiles.CALLER)

    /** Starts everything and waits until all proxies are ready and a primary was promoted. */
    fun start() {
        val platformArguments = listOf("--listen", "127.0.0.1:$platform", "--admin", "127.0.0.1:$platformAdmin")
        processes.start("platform", Program.STANDINS, listOf("platform") + platformArguments)
        servers.forEach(::startServer)
        proxies.forEach(::startProxy)
        awaitTrue("the platform takes the host list", START_SECONDS) {
            admin("PUT", platformAdmin, "/hosts", files.hostList()).statusCode() == OK
        }
        val rules = files.rules("rules", connectionLimit = 24)
        val loaded = load("first-load", files.inventory(), "--inventory", "--rules", rules)
        check(loaded.exitCode == 0) { "the configuration was not loaded: $loaded" }
        awaitHealthy()
    }

    /** Waits until all proxies are ready and see each other, and the primary answers. */
    fun awaitHealthy() {
        awaitTrue("all proxies are ready and see each other", START_SECONDS) {
            proxies.all { state(it)?.run { ready && liveMembers == proxies.size - 1 } == true }
        }
        awaitTrue("writes succeed through every proxy", START_SECONDS) {
            proxies.all { caller.write(it.caller, CallerWrite(listOf("add started 1"))).succeeded }
        }
    }

    /** Undoes what a test that failed may have left behind, so that the next one starts from a healthy fleet. */
    fun restore() {
        proxies.filterNot { processes.isAlive(it.name) }.forEach(::startProxy)
        proxies.forEach { processes.signal(it.name, "CONT") }
        servers.forEach { serverFault(it, """{"isolated":false}""") }
        platformFault("""{"outage":false}""")
        awaitHealthy()
    }

    fun startProxy(proxy: FleetProxy) {
        processes.start(proxy.name, Program.HIBISCUSREACH, listOf("run", "--settings", files.settings(proxy)))
    }

    /** The state of [proxy], or null if it does not answer. */
    fun state(proxy: FleetProxy): StateDump? =
        try {
            val text = admin("GET", proxy.operations, "/state").body()
            json.decodeFromString(StateDump.serializer(), text)
        } catch (_: IOException) {
            null
        }

    /** What the server says of itself through its admin port. */
    fun status(server: FleetServer): ServerStatus =
        json.decodeFromString(ServerStatus.serializer(), admin("GET", server.admin, "/status").body())

    /** The server that is primary in the highest term. */
    fun primary(): FleetServer = awaitValue("a primary") { primaries().maxByOrNull { status(it).term.number } }

    /** The proxy that is the home of the database in [failureDomain]. */
    fun home(failureDomain: String): FleetProxy =
        awaitValue("a home") {
            val homes = state(proxies.first())?.groups?.first()?.homes.orEmpty()
            val node = homes.entries.find { it.key.toString() == failureDomain }?.value
            proxies.find { it.peer == node?.peerEndpoint?.port }
        }

    fun serverFault(server: FleetServer, fault: String) =
        check(admin("POST", server.admin, "/faults", fault).statusCode() == OK)

    fun platformFault(fault: String) = check(admin("POST", platformAdmin, "/faults", fault).statusCode() == OK)

    /** Loads a file with the command line of the product. */
    fun load(name: String, file: String, option: String, vararg more: String): FinishedProcess =
        processes.run(name, Program.HIBISCUSREACH, files.loadArguments(file, option) + more)

    override fun close() {
        processes.close()
        folder.toFile().deleteRecursively()
    }

    private fun proxy(name: String, domain: String) =
        FleetProxy(name, domain, caller = ports.next(), operations = ports.next(), peer = ports.next())

    private fun server(name: String, domain: String) =
        FleetServer(name, domain, session = ports.next(), control = ports.next(), admin = ports.next())

    private fun primaries() = servers.filter { status(it).role == ServerRole.PRIMARY }

    private fun startServer(server: FleetServer) {
        val others = servers.filter { it != server }.flatMap { listOf("--peer", "${it.name}=127.0.0.1:${it.control}") }
        val own = listOf("--server", "${server.name}=${server.session},${server.control},${server.admin}")
        val limit = listOf("--connection-limit", "40")
        processes.start(server.name, Program.STANDINS, listOf("server") + own + others + limit)
    }

    private fun admin(method: String, port: Int, path: String, body: String = ""): HttpResponse<String> {
        val request =
            HttpRequest
                .newBuilder(URI("http://127.0.0.1:$port$path"))
                .timeout(Duration.ofSeconds(ADMIN_SECONDS))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build()
        return client.send(request, HttpResponse.BodyHandlers.ofString())
    }

    private companion object {
        const val OK = 200
        const val START_SECONDS = 20
        const val ADMIN_SECONDS = 2L
        const val PORT_COUNT = 23
        val PROXY_DOMAINS = listOf("galway-yard", "galway-yard", "dublin-office", "dublin-office")
        val SERVER_DOMAINS = listOf("galway-yard", "dublin-office", "galway-yard")
    }
}

/** The configuration generations in effect on the proxies. */
internal fun ProcessFleet.generations(): Set<Long?> = proxies.map { state(it)?.configuration?.generation }.toSet()

/** The configuration generation in effect on all proxies. */
internal fun ProcessFleet.generation(): Long = awaitValue("one generation on all proxies") {
    generations().singleOrNull()
}

/** The number of other proxies that are alive. */
internal val StateDump.liveMembers: Int get() = members.count { it.condition == PeerCondition.ALIVE }
