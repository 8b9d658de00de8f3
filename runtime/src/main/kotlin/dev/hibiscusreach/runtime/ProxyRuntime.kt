package dev.hibiscusreach.runtime

import dev.hibiscusreach.core.event.DrainPhase
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.runtime.adapter.AdapterFactory
import dev.hibiscusreach.runtime.adapter.Adapters
import dev.hibiscusreach.runtime.adapter.HttpAdapterFactory
import dev.hibiscusreach.runtime.caller.CallerEndpoint
import dev.hibiscusreach.runtime.caller.TokenSigner
import dev.hibiscusreach.runtime.http.BindException
import dev.hibiscusreach.runtime.loop.EventLoop
import dev.hibiscusreach.runtime.loop.LoopListener
import dev.hibiscusreach.runtime.loop.ProxyClock
import dev.hibiscusreach.runtime.loop.SystemClock
import dev.hibiscusreach.runtime.operations.DumpedAddresses
import dev.hibiscusreach.runtime.operations.DumpedConnections
import dev.hibiscusreach.runtime.operations.OperationsEndpoint
import dev.hibiscusreach.runtime.operations.OperationsView
import dev.hibiscusreach.runtime.operations.StateDump
import dev.hibiscusreach.runtime.operations.StateReader
import dev.hibiscusreach.runtime.peer.KtorPeerLinks
import dev.hibiscusreach.runtime.peer.PeerLinkSettings
import dev.hibiscusreach.runtime.peer.PeerListener
import dev.hibiscusreach.runtime.settings.DaemonSettings
import dev.hibiscusreach.runtime.telemetry.Metrics
import dev.hibiscusreach.runtime.telemetry.ProxyTelemetry
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.serialization.json.Json
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** One running proxy process: the event loop with its adapters and endpoints. */
class ProxyRuntime private constructor(
    private val settings: DaemonSettings,
    private val clock: ProxyClock,
    factory: AdapterFactory,
    private val listener: PeerListener,
) : OperationsView,
    AutoCloseable {
    private val self = NodeIdentity(listener.endpoint, clock.wallClockMillis(), Random.nextInt())
    private val loop = EventLoop(ProxyState.initial(settings.proxySettings(self)), clock)
    private val metrics = Metrics()
    private val group = MultiThreadIoEventLoopGroup(NETWORK_THREADS, NioIoHandler.newFactory())
    private val callers = CallerEndpoint(loop, TokenSigner(settings.tokenKey.bytes), settings.callerLimits, metrics)
    private val operations = OperationsEndpoint(view = this)
    private val sessions = factory.sessions(group, loop)
    private val control = factory.control(group, loop)
    private val platform = factory.platform(group, settings.addresses.platform, loop)
    private val peers = KtorPeerLinks(
        listener,
        loop,
        PeerLinkSettings(),
        metrics
    ) { loop.state.membership.selfUpdate() }
    private val configurationAge = ConfigurationAge()

    /** The addresses at which the process listens, with actual ports. */
    lateinit var addresses: DumpedAddresses
        private set

    override val isLive: Boolean get() = loop.isAlive

    override val isReady: Boolean
        get() = isLive && loop.state.drainPhase == DrainPhase.SERVING && loop.state.configuration.isLoaded

    /** Starts the graceful shutdown. */
    fun drain() = loop.submit(Event.DrainRequested)

    /** Waits until the graceful shutdown is complete; false if that took longer than [timeoutMillis]. */
    fun awaitExit(timeoutMillis: Long): Boolean = loop.awaitExit(timeoutMillis)

    override fun metrics(): String = metrics.scrape()

    override fun state(): String = json.encodeToString(StateDump.serializer(), dump())

    /** Sends the answers that are ready, then closes everything. */
    override fun close() {
        callers.close()
        peers.close()
        loop.close()
        listOf(sessions, control, platform, operations).forEach(AutoCloseable::close)
        group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly(SHUTDOWN_MILLIS)
    }

    private fun bind() {
        addresses =
            DumpedAddresses(
                caller = callers.bind(group, settings.addresses.caller),
                operations = operations.bind(group, settings.addresses.operations),
                peer = listener.endpoint,
            )
    }

    private fun start() {
        registerGauges()
        val adapters = Adapters(callers, sessions, control, platform, peers, ProxyTelemetry(metrics))
        loop.start(adapters, listOf(metrics, callers, configurationAge))
        peers.start()
    }

    private fun registerGauges() {
        metrics.gauge("hibiscusreach.ready") { if (isReady) 1 else 0 }
        metrics.gauge("hibiscusreach.loop.waiting") { loop.queueLength }
        metrics.gauge("hibiscusreach.callers.connections") { callers.connectionCount }
        metrics.gauge("hibiscusreach.requests.in.flight") { callers.requestsInFlight }
        metrics.gauge("hibiscusreach.servers.connections") { sessions.connectionCount }
        metrics.gauge("hibiscusreach.configuration.generation") { loop.state.configuration.index.generation }
        metrics.gauge("hibiscusreach.peers.live") { loop.state.membership.livePeers().size }
    }

    private fun dump(): StateDump {
        val state = loop.state
        return StateDump(
            node = self,
            failureDomain = settings.failureDomain,
            addresses = addresses,
            drainPhase = state.drainPhase,
            ready = isReady,
            configuration = StateReader.configuration(state, configurationAge.millis()),
            members = StateReader.members(state),
            groups = StateReader.groups(state, clock.now()),
            connections = DumpedConnections(callers.connectionCount, sessions.connectionCount),
            requests = StateReader.requests(state, callers.requestsInFlight, loop.queueLength),
        )
    }

    /** Tracks when the configuration in effect was adopted. */
    private inner class ConfigurationAge : LoopListener {
        @Volatile
        private var changedAt: MonotonicTime? = null

        override fun configurationChanged(generation: Long) {
            changedAt = clock.now()
        }

        fun millis(): Long? = changedAt?.let { (clock.now() - it).value }
    }

    companion object {
        private const val NETWORK_THREADS = 3
        private const val SHUTDOWN_MILLIS = 1_000L
        private val json = Json { encodeDefaults = true }

        /** Starts a proxy. Throws a [BindException] if an address cannot be used. */
        fun start(
            settings: DaemonSettings,
            clock: ProxyClock = SystemClock(),
            factory: AdapterFactory = HttpAdapterFactory,
        ): ProxyRuntime {
            val runtime = ProxyRuntime(settings, clock, factory, PeerListener.bind(settings.addresses.peer))
            try {
                runtime.bind()
            } catch (failure: BindException) {
                runtime.close()
                throw failure
            }
            runtime.start()
            return runtime
        }
    }
}
