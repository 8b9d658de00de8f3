package dev.hibiscusreach.systemtests.fleet

import dev.hibiscusreach.core.configuration.ConfigurationCodec
import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.event.PeerUpdate
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.reducer.ProxySettings
import kotlin.random.Random

/** Several proxies' reducers with fake servers, a fake platform and a fake network, in one simulated time. */
class Fleet(
    val deployment: Deployment,
    seed: Long,
    private val proxiesPerDomain: Int = 2,
    private val adjust: (ProxySettings) -> ProxySettings = { it },
) {
    val schedule = Schedule()
    val random = Random(seed)
    val network = FakeNetwork(deployment, schedule)
    val platform = FakePlatform(schedule)
    val servers: Map<ServerName, FakeServer> =
        deployment.configuration.inventory.databaseGroups
            .flatMap { it.servers }
            .associate { it.name to FakeServer(it, schedule) }

    /** The current run at each endpoint. */
    val proxies = linkedMapOf<Endpoint, FakeProxy>()

    /** Counters of all proxies together. */
    val counts = mutableMapOf<String, Long>()
    private val observers = mutableListOf<(FakeProxy, Effect) -> Unit>()
    private var nextSession = 0L
    private var nextNonce = 1

    /** Loads the configuration into the platform and starts everything. */
    fun start() {
        publish(deployment.configuration, "initial")
        deployment.domains.forEachIndexed { domainIndex, domain ->
            repeat(proxiesPerDomain) { startProxy(Endpoint("10.0.$domainIndex.$it", PEER_PORT), domain.name) }
        }
        servers.values.forEach(::replicateForever)
        completeWatchesForever()
    }

    /** Starts a new run of the proxy at [endpoint]. */
    fun startProxy(endpoint: Endpoint, domain: FailureDomainName): FakeProxy {
        val identity = NodeIdentity(endpoint, startedAtMillis = schedule.nowMillis, nonce = nextNonce++)
        val seeds =
            deployment.domains.indices.flatMap { domainIndex ->
                (0 until proxiesPerDomain).map { Endpoint("10.0.$domainIndex.$it", PEER_PORT) }
            } - endpoint
        val settings = adjust(ProxySettings(self = identity, failureDomain = domain, seeds = seeds))
        val proxy = FakeProxy(settings, schedule, Random(random.nextLong()), ::carryOut)
        proxies[endpoint] = proxy
        proxy.deliver(Event.Started)
        return proxy
    }

    /** Ends a proxy; its sessions and links break. */
    fun killProxy(proxy: FakeProxy) {
        proxy.kill()
        proxy.sessions.values.forEach { (server, session) -> server.close(session) }
        proxy.sessions.clear()
    }

    /** Ends a server; its sessions break. */
    fun killServer(server: FakeServer) {
        server.kill()
        proxies.values.forEach { proxy ->
            proxy.sessions.filterValues { it.first == server }.keys.forEach { connection ->
                proxy.sessions.remove(connection)
                send(server.server.failureDomain, proxy) { proxy.deliver(Event.ConnectionClosed(connection)) }
            }
        }
    }

    /** Puts a configuration into the store, as the command line does. */
    fun publish(configuration: Configuration, change: String) {
        val encoded = ConfigurationCodec.encode(configuration, listOf(change))
        encoded.chunks.forEach { (hash, chunk) -> platform.model.overwrite(ConfigurationCodec.chunkKey(hash), chunk) }
        platform.model.overwrite(ConfigurationCodec.ROOT_KEY, ConfigurationCodec.encodeRoot(encoded.root))
        platform.completeWatches()
    }

    /** Calls [observer] for every effect that leaves a proxy. */
    fun observe(observer: (FakeProxy, Effect) -> Unit) {
        observers += observer
    }

    /** The proxies that run. */
    fun running(): List<FakeProxy> = proxies.values.filter { it.isUp }

    private fun carryOut(proxy: FakeProxy, effect: Effect) {
        observers.forEach { it(proxy, effect) }
        when (effect) {
            is Effect.OpenConnection -> open(proxy, effect)
            is Effect.CloseConnection -> close(proxy, effect)
            is Effect.SendSessionCommand -> execute(proxy, effect)
            is Effect.SendControlCommand -> control(proxy, effect)
            is Effect.SendPeerMessage -> message(proxy, effect)
            is Effect.ContactSeeds -> effect.endpoints.forEach { introduce(proxy, it) }
            is Effect.CallPlatform -> callPlatform(proxy, effect)
            is Effect.Count -> counts.merge("${effect.counter.metric}/${effect.label}", effect.amount, Long::plus)
            else -> Unit
        }
    }

    private fun open(proxy: FakeProxy, effect: Effect.OpenConnection) {
        val server = servers.getValue(effect.server)
        val domain = server.server.failureDomain
        val session = nextSession++
        proxy.sessions[effect.connection] = server to session
        schedule.after(Deployment.CONNECTION_SETUP_MICROS) {
            request(proxy, domain) {
                when {
                    !server.isUp -> refuse(proxy, effect, domain, ConnectionFailure.REFUSED)
                    !server.open(session) -> refuse(proxy, effect, domain, ConnectionFailure.LIMIT_REACHED)
                    !proxy.isUp || effect.connection !in proxy.sessions -> server.close(session)
                    else -> send(domain, proxy) { proxy.deliver(Event.ConnectionOpened(effect.connection)) }
                }
            }
        }
    }

    private fun refuse(
        proxy: FakeProxy,
        effect: Effect.OpenConnection,
        domain: FailureDomainName,
        failure: ConnectionFailure,
    ) {
        proxy.sessions.remove(effect.connection)
        send(domain, proxy) { proxy.deliver(Event.ConnectionOpenFailed(effect.connection, failure)) }
    }

    private fun close(proxy: FakeProxy, effect: Effect.CloseConnection) {
        val (server, session) = proxy.sessions.remove(effect.connection) ?: return
        // A close that is lost in a cut is noticed by the server's own keep-alive once the cut is over.
        schedule.after(deployment.latencyMicros(proxy.settings.failureDomain, server.server.failureDomain)) {
            server.close(session)
        }
    }

    private fun execute(proxy: FakeProxy, effect: Effect.SendSessionCommand) {
        val (server, session) = proxy.sessions[effect.connection] ?: return
        val domain = server.server.failureDomain
        request(proxy, domain) {
            if (server.isUp && server.hasSession(session)) {
                server.execute(session, effect.command) { answer ->
                    send(domain, proxy) {
                        proxy.deliver(Event.SessionAnswered(effect.connection, effect.attempt, answer))
                    }
                }
            }
        }
    }

    private fun control(proxy: FakeProxy, effect: Effect.SendControlCommand) {
        val server = servers.getValue(effect.server)
        val domain = server.server.failureDomain
        var isOpen = true
        val finish = { event: Event ->
            if (isOpen) {
                isOpen = false
                proxy.deliver(event)
            }
        }
        schedule.afterMillis(effect.timeout.value) {
            finish(Event.ControlFailed(effect.call, effect.server, ConnectionFailure.TIMED_OUT))
        }
        request(proxy, domain) {
            if (server.isUp) {
                server.control(effect.command) { answer ->
                    send(domain, proxy) { finish(Event.ControlAnswered(effect.call, effect.server, answer)) }
                }
            } else {
                send(domain, proxy) {
                    finish(Event.ControlFailed(effect.call, effect.server, ConnectionFailure.REFUSED))
                }
            }
        }
    }

    private fun message(proxy: FakeProxy, effect: Effect.SendPeerMessage) {
        val receiver = proxies[effect.to.peerEndpoint] ?: return
        val domain = receiver.settings.failureDomain
        request(proxy, domain) {
            if (receiver.isUp && receiver.settings.self == effect.to) {
                receiver.deliver(Event.PeerMessageReceived(proxy.settings.self, effect.message))
            } else {
                send(domain, proxy) { proxy.deliver(Event.PeerUnreachable(effect.to)) }
            }
        }
    }

    private fun introduce(proxy: FakeProxy, endpoint: Endpoint) {
        val other = proxies[endpoint] ?: return
        val domain = other.settings.failureDomain
        request(proxy, domain) {
            if (other.isUp && !other.isPaused) {
                other.deliver(Event.PeerIntroduced(introduction(proxy)))
                send(domain, proxy) { proxy.deliver(Event.PeerIntroduced(introduction(other))) }
            }
        }
    }

    private fun introduction(proxy: FakeProxy) =
        PeerUpdate(proxy.settings.self, proxy.settings.failureDomain, PeerCondition.ALIVE)

    private fun callPlatform(proxy: FakeProxy, effect: Effect.CallPlatform) {
        var isOpen = true
        val finish = { answer: PlatformAnswer ->
            if (isOpen) {
                isOpen = false
                proxy.deliver(Event.PlatformAnswered(effect.call, answer))
            }
        }
        val wait = (effect.request as? PlatformCall.Watch)?.waitMillis ?: 0
        schedule.afterMillis(maxOf(effect.timeout.value, wait)) { finish(PlatformAnswer.Failed("no answer in time")) }
        request(proxy, deployment.storeDomain) {
            platform.call(effect.request) { answer -> send(deployment.storeDomain, proxy) { finish(answer) } }
        }
    }

    private fun request(proxy: FakeProxy, to: FailureDomainName, arrival: () -> Unit) =
        network.send(proxy.settings.failureDomain, to, arrival)

    private fun send(from: FailureDomainName, proxy: FakeProxy, arrival: () -> Unit) =
        network.send(from, proxy.settings.failureDomain, arrival)

    private fun replicateForever(replica: FakeServer) {
        schedule.afterMillis(REPLICATION_PERIOD_MILLIS + replica.replicationLagMillis) {
            if (replica.isUp) replicate(replica)
            replicateForever(replica)
        }
    }

    private fun replicate(replica: FakeServer) {
        replica.completeConfirms()
        val request = replica.model.replicationRequest() ?: return
        val primary = servers.getValue(request.primary)
        val here = replica.server.failureDomain
        val there = primary.server.failureDomain
        network.send(here, there) {
            val answer = if (primary.isUp) primary.model.entriesFor(request) else null
            if (answer != null) {
                network.send(there, here) {
                    if (replica.isUp) {
                        replica.model.replicate(answer)
                        replica.completeConfirms()
                    }
                }
            }
        }
    }

    private fun completeWatchesForever() {
        schedule.afterMillis(WATCH_PERIOD_MILLIS) {
            platform.completeWatches()
            completeWatchesForever()
        }
    }

    private companion object {
        const val PEER_PORT = 7000
        const val REPLICATION_PERIOD_MILLIS = 5L
        const val WATCH_PERIOD_MILLIS = 20L
    }
}
