package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.configuration.ConfigurationPart
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimedEvent
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.ProxyReducer
import dev.hibiscusreach.core.reducer.ProxySettings
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.ReducerPart
import dev.hibiscusreach.core.reducer.Step
import java.util.PriorityQueue
import kotlin.random.Random

/** Processes with the membership and configuration parts, joined by a queue of simulated time. */
internal class TestFleet(seed: Int = 1) {
    val platform = FakePlatform()
    val nodes = mutableMapOf<Endpoint, TestNode>()
    var now = 0L
        private set

    /** Whether a message or platform call between two failure domains, or to "platform", is cut. */
    var isCut: (from: String, to: String) -> Boolean = { _, _ -> false }
    private val random = Random(seed)
    private val queue = PriorityQueue(compareBy<Scheduled> { it.at }.thenBy { it.order })
    private var order = 0L

    /** Starts process [number] of [domain]; a number that was used before is a restart at the same endpoint. */
    fun start(
        number: Int,
        domain: String = "yard",
        seeds: List<Int> = listOf(1),
        startedAtMillis: Long = now,
    ): TestNode {
        val identity = NodeIdentity(endpoint(number), startedAtMillis, nonce = 0)
        val node = TestNode(ProxySettings(identity, FailureDomainName(domain), seeds.map(::endpoint)))
        nodes[identity.peerEndpoint] = node
        deliver(node, Event.Started)
        return node
    }

    fun startAll(count: Int, domains: List<String> = listOf("yard", "dublin")): List<TestNode> =
        (1..count).map { start(it, domains[it % domains.size]) }.also { run(seconds = 5) }

    /** Ends a process without notice; messages to it fail at once. */
    fun kill(node: TestNode) = nodes.remove(node.identity.peerEndpoint)

    /** Delays everything that happens to [node]. */
    fun pause(node: TestNode, millis: Int) {
        node.pausedUntil = now + millis
    }

    fun run(seconds: Int) = runMillis(seconds * MILLIS_PER_SECOND)

    fun runMillis(duration: Long) {
        val end = now + duration
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val next = queue.poll()
            now = next.at
            next.action()
        }
        now = end
    }

    fun deliver(node: TestNode, event: Event) {
        val resumesAt = node.pausedUntil
        when {
            nodes[node.identity.peerEndpoint] !== node -> Unit
            resumesAt > now -> schedule(resumesAt - now) { deliver(node, event) }
            else -> node.handle(event, now, random.nextLong()).forEach { perform(node, it) }
        }
    }

    private fun perform(node: TestNode, effect: Effect) {
        when (effect) {
            is Effect.StartTimer -> startTimer(node, effect)
            is Effect.CancelTimer -> node.timers.remove(effect.key)
            is Effect.SendPeerMessage -> send(node, effect)
            is Effect.ContactSeeds -> effect.endpoints.forEach { contact(node, it) }
            is Effect.CallPlatform -> call(node, effect)
            else -> Unit
        }
    }

    private fun startTimer(node: TestNode, effect: Effect.StartTimer) {
        val number = order
        node.timers[effect.key] = number
        schedule(effect.delay.value) {
            if (node.timers[effect.key] == number) deliver(node, Event.TimerFired(effect.key))
        }
    }

    private fun send(node: TestNode, effect: Effect.SendPeerMessage) {
        val receiver = nodes[effect.to.peerEndpoint]
        node.sent += effect
        when {
            receiver?.identity != effect.to -> schedule(1) { deliver(node, Event.PeerUnreachable(effect.to)) }
            isCut(node.domain, receiver.domain) -> Unit
            else -> schedule(1) { deliver(receiver, Event.PeerMessageReceived(node.identity, effect.message)) }
        }
    }

    private fun contact(node: TestNode, endpoint: Endpoint) {
        val peer = nodes[endpoint] ?: return
        if (peer !== node && !isCut(node.domain, peer.domain)) {
            schedule(1) { deliver(node, Event.PeerIntroduced(peer.membership.selfUpdate())) }
        }
    }

    private fun call(node: TestNode, effect: Effect.CallPlatform, waitedMillis: Long = 0) {
        val request = effect.request
        val isReachable = !isCut(node.domain, "platform")
        if (waitedMillis == 0L) platform.calls += PlatformUse(node.identity, request)
        val answer = if (isReachable) platform.answer(request) else PlatformAnswer.Failed("no route")
        val hasWaited = request is PlatformCall.Watch && waitedMillis >= request.waitMillis
        when {
            answer != null -> schedule(2) { deliver(node, Event.PlatformAnswered(effect.call, answer)) }
            hasWaited -> deliver(node, Event.PlatformAnswered(effect.call, PlatformAnswer.Unchanged("")))
            else -> schedule(POLL_MILLIS) { call(node, effect, waitedMillis + POLL_MILLIS) }
        }
    }

    private fun schedule(delay: Long, action: () -> Unit) {
        queue += Scheduled(now + delay, order++, action)
    }

    private class Scheduled(val at: Long, val order: Long, val action: () -> Unit)

    companion object {
        private const val POLL_MILLIS = 10L
        private const val MILLIS_PER_SECOND = 1_000L

        fun endpoint(number: Int) = Endpoint("10.0.${number / 250}.${number % 250}", port = 7_000)
    }
}

/** One process of a [TestFleet]. */
internal class TestNode(settings: ProxySettings) {
    private val recorder = ReducerPart { state, event, _ -> Step(state).also { if (event is Signal) signals += event } }
    private val reducer = ProxyReducer(listOf(MembershipPart(), ConfigurationPart(), recorder))
    val identity = settings.self
    val domain = settings.failureDomain.value
    val timers = mutableMapOf<TimerKey, Long>()
    val signals = mutableListOf<Signal>()
    val sent = mutableListOf<Effect.SendPeerMessage>()
    var pausedUntil = 0L
    var state = ProxyState.initial(settings)
        private set
    val membership get() = state.membership
    val generation get() = state.configuration.index.generation

    fun handle(event: Event, now: Long, random: Long): List<Effect> {
        val transition = reducer.reduce(state, TimedEvent(MonotonicTime(now), wallClockMillis = now, random, event))
        check(transition.state.configuration.index.generation >= generation) { "generation went down after $event" }
        state = transition.state
        return transition.effects
    }

    fun isLive(other: TestNode) = membership.isLive(other.identity)
}
