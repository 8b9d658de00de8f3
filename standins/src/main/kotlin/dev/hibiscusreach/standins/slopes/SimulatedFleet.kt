package dev.hibiscusreach.standins.slopes

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PeerCondition
import dev.hibiscusreach.core.event.PeerMessage
import dev.hibiscusreach.core.event.PeerUpdate
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.Endpoint
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlin.random.Random

/** Totals of a fleet since its start, or the difference of two of them. */
internal data class Traffic(
    val peerMessages: Long,
    val peerBytes: Long,
    val controlCommands: Long,
    val controlBytes: Long,
    val platformCalls: Long,
) {
    operator fun minus(other: Traffic): Traffic =
        Traffic(
            peerMessages - other.peerMessages,
            peerBytes - other.peerBytes,
            controlCommands - other.controlCommands,
            controlBytes - other.controlBytes,
            platformCalls - other.platformCalls,
        )
}

/** The reducers of [nodes] proxies with in-memory delivery of their effects in simulated time. */
internal class SimulatedFleet(private val nodes: Int, private val initial: Configuration, seed: Int) {
    val time = SimulatedTime()
    val platform = SimulatedPlatform(time)
    private val random = Random(seed)
    val servers = SimulatedServers(initial.inventory.databaseGroups, time)
    val proxies =
        List(nodes) { SimulatedProxy(Deployment.settings(it, nodes), time, Random(random.nextLong()), ::perform) }
    private val byEndpoint: Map<Endpoint, SimulatedProxy> = proxies.associateBy { it.settings.self.peerEndpoint }
    private var peerMessages = 0L
    private var peerBytes = 0L

    /** Totals since the start. */
    val traffic: Traffic
        get() = Traffic(peerMessages, peerBytes, servers.commands, servers.bytes, platform.counts.values.sum())

    /** Starts all proxies within one second and lets them settle. */
    fun start(settleMillis: Long) {
        platform.publish(initial)
        proxies.forEach { proxy -> time.after(random.nextLong(START_MICROS)) { proxy.deliver(Event.Started) } }
        completeWatchesForever()
        time.advance(settleMillis)
        val adopted = proxies.count { it.state.configuration.index.generation == initial.generation }
        check(adopted == nodes) { "only $adopted of $nodes proxies have the configuration after $settleMillis ms" }
    }

    /** Measures all steps of the next [millis]. */
    fun measure(millis: Long): Pair<CostMeter, Traffic> {
        val meter = CostMeter()
        return meter to measure(millis) { meter }
    }

    /** Measures the steps of each proxy of the next [millis] with the meter that [choose] names for it. */
    fun measure(millis: Long, choose: (SimulatedProxy) -> CostMeter): Traffic {
        val before = traffic
        proxies.forEach { it.meter = choose(it) }
        time.advance(millis)
        proxies.forEach { it.meter = null }
        return traffic - before
    }

    private fun perform(proxy: SimulatedProxy, effect: Effect) {
        when (effect) {
            is Effect.SendPeerMessage -> send(proxy, effect)
            is Effect.ContactSeeds -> effect.endpoints.forEach { introduce(proxy, it) }
            is Effect.CallPlatform -> platform.call(proxy, effect)
            is Effect.SendControlCommand -> servers.control(proxy, effect)
            is Effect.OpenConnection -> servers.open(proxy, effect)
            else -> Unit
        }
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun send(proxy: SimulatedProxy, effect: Effect.SendPeerMessage) {
        val receiver = byEndpoint[effect.to.peerEndpoint] ?: return
        peerMessages++
        peerBytes += Cbor.encodeToByteArray(PeerMessage.serializer(), effect.message).size
        time.after(latency(proxy, receiver)) {
            receiver.deliver(Event.PeerMessageReceived(proxy.settings.self, effect.message))
        }
    }

    private fun introduce(proxy: SimulatedProxy, endpoint: Endpoint) {
        val other = byEndpoint[endpoint] ?: return
        time.after(latency(proxy, other)) {
            other.deliver(Event.PeerIntroduced(introduction(proxy)))
            proxy.deliver(Event.PeerIntroduced(introduction(other)))
        }
    }

    private fun introduction(proxy: SimulatedProxy) =
        PeerUpdate(proxy.settings.self, proxy.settings.failureDomain, PeerCondition.ALIVE)

    private fun latency(from: SimulatedProxy, to: SimulatedProxy): Long =
        if (from.settings.failureDomain == to.settings.failureDomain) LOCAL_MICROS else REMOTE_MICROS

    private fun completeWatchesForever() {
        time.afterMillis(WATCH_MILLIS) {
            platform.completeWatches()
            completeWatchesForever()
        }
    }

    private companion object {
        const val START_MICROS = 1_000_000L
        const val LOCAL_MICROS = 100L
        const val REMOTE_MICROS = 8_000L
        const val WATCH_MILLIS = 20L
    }
}
