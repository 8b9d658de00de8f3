package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.configuration.ConfigurationState
import dev.hibiscusreach.core.event.AttemptNumber
import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.PartName
import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.Signal
import dev.hibiscusreach.core.event.TimedEvent
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.membership.Peer
import dev.hibiscusreach.core.model.BackendServer
import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.ConfigurationIndex
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomain
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.Inventory
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.RegionName
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.core.reducer.ProxyReducer
import dev.hibiscusreach.core.reducer.ProxySettings
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.ReducerPart
import dev.hibiscusreach.core.reducer.Step
import java.util.PriorityQueue
import kotlin.random.Random

/** One database group with a server and a home in each failure domain, on simulated time. */
internal class GroupSimulation(domainCount: Int = 3, seed: Int = 1) {
    val database = DatabaseName("jobs")
    val domains = (1..domainCount).map { FailureDomainName("domain-$it") }
    val servers = domains.map { FakeServer(ServerName("server-${it.value}"), it) }
    val platform = FakePlatform()
    val nodes = domains.map { Node(it) }
    val cuts = mutableSetOf<Set<FailureDomainName>>()

    /** Pairs of domains whose homes lose all messages to each other, although servers are reached. */
    val mutedPeers = mutableSetOf<Set<FailureDomainName>>()

    /** Extra one-way delay between two domains. */
    val slowness = mutableMapOf<Set<FailureDomainName>, Long>()
    var now = START
    private val queue = PriorityQueue<Scheduled>(compareBy({ it.at }, { it.order }))
    private var order = 0L
    private val random = Random(seed)
    val group =
        DatabaseGroup(
            database,
            servers.map { server ->
                val port = domains.indexOf(server.domain)
                BackendServer(
                    server.name,
                    server.domain,
                    Endpoint("10.1.0.1", port),
                    Endpoint("10.2.0.1", port),
                    connectionLimit = 30,
                    slots = 2,
                )
            },
        )
    private val index =
        Inventory(domains.map { FailureDomain(it, RegionName("region")) }, databaseGroups = listOf(group))
            .let { ConfigurationIndex(Configuration(generation = 1, it)) }

    init {
        nodes.forEach { it.start() }
        schedule(REPLICATION_PERIOD) { replicate() }
    }

    val primary: FakeServer get() = servers.filter { it.role == ServerRole.PRIMARY && it.up }.maxBy { it.term }
    val replicas: List<FakeServer> get() = servers.filter { it != primary }

    fun run(millis: Long) {
        val end = now + millis
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val next = queue.remove()
            now = next.at
            next.action()
        }
        now = end
    }

    /** Runs until [condition] holds and returns the time that it took. */
    fun runUntil(limit: Long = 20_000, condition: () -> Boolean): Long {
        val start = now
        while (!condition()) {
            check(now - start < limit) { "condition not reached in $limit ms" }
            run(1)
        }
        return now - start
    }

    /** Runs until every home that is not frozen knows the same primary, above [term]. */
    fun awaitPrimary(above: Term = Term(0)): Long =
        runUntil {
            nodes.filter { !it.frozen }.all { it.groups.term(database) > above } &&
                nodes.filter { !it.frozen }.map { it.groups.primary(database) }.distinct().singleOrNull() != null
        }

    fun isolate(domain: FailureDomainName) {
        domains.filter { it != domain }.forEach { cuts += setOf(domain, it) }
    }

    private fun replicate() {
        servers.filter { it.up }.forEach { replica ->
            servers.find { it.name == replica.follows && it.up && isConnected(it.domain, replica.domain) }
                ?.let { replica.replicateFrom(it) }
        }
        schedule(REPLICATION_PERIOD) { replicate() }
    }

    private fun schedule(delay: Long, action: () -> Unit) {
        queue += Scheduled(now + delay, order++, action)
    }

    fun isConnected(first: FailureDomainName, second: FailureDomainName): Boolean =
        setOf(first, second) !in cuts

    private fun latency(first: FailureDomainName, second: FailureDomainName): Long =
        LATENCY + random.nextLong(JITTER) + (slowness[setOf(first, second)] ?: 0)

    private class Scheduled(val at: Long, val order: Long, val action: () -> Unit)

    /** A proxy process, which runs only the groups part. */
    inner class Node(val domain: FailureDomainName) {
        val identity = NodeIdentity(Endpoint("10.0.0.1", domains.indexOf(domain)), startedAtMillis = 1, nonce = 1)
        val signals = mutableListOf<Signal>()
        val commands = mutableListOf<ControlCommand>()
        var frozen = false
            private set
        private val recorder = ReducerPart { state, event, _ ->
            Step(state).also { if (event is Signal) signals += event }
        }
        private val reducer = ProxyReducer(listOf(GroupsPart(), recorder))
        private var state = ProxyState.initial(ProxySettings(identity, domain))
        private val timers = mutableMapOf<TimerKey, Long>()
        private val waiting = mutableListOf<Event>()
        private var attempts = 0L

        val groups: GroupsState get() = state.groups
        val failover: FailoverState? get() = groups.databases[database]?.failover

        fun start() {
            state = state.copy(configuration = ConfigurationState(index))
            meet(nodes.filter { it != this }.map { Peer(it.identity, it.domain) })
            receive(Event.Started)
        }

        fun meet(peers: List<Peer>) {
            val known = state.membership.peers.putAll(peers.associateBy { it.node.peerEndpoint })
            state = state.copy(membership = state.membership.copy(peers = known))
            receive(Signal.MembershipChanged)
        }

        fun receive(event: Event) {
            if (frozen) {
                waiting += event
                return
            }
            val transition = reducer.reduce(state, TimedEvent(MonotonicTime(now), now, random = order, event))
            state = transition.state
            transition.effects.forEach(::perform)
        }

        fun freeze() {
            frozen = true
        }

        fun resume() {
            frozen = false
            waiting.toList().also { waiting.clear() }.forEach(::receive)
        }

        /** Writes at [server], as the requests part would report it, and asks for durability. */
        fun write(server: FakeServer, wait: Long = 1_000): AttemptNumber {
            val position = server.write()
            receive(Signal.ServerObserved(server.status, MonotonicTime(now)))
            return awaitDurability(position, wait)
        }

        fun awaitDurability(position: Position, wait: Long = 1_000): AttemptNumber {
            val attempt = AttemptNumber(PartName.REQUESTS, ++attempts)
            receive(Signal.DurabilityRequested(attempt, database, position, MonotonicTime(now + wait)))
            return attempt
        }

        fun awaitLeadership(wait: Long = 1_000): AttemptNumber {
            val attempt = AttemptNumber(PartName.REQUESTS, ++attempts)
            receive(Signal.LeadershipCheckRequested(attempt, database, MonotonicTime(now), MonotonicTime(now + wait)))
            return attempt
        }

        private fun perform(effect: Effect) {
            when (effect) {
                is Effect.StartTimer -> startTimer(effect.key, effect.delay)
                is Effect.CancelTimer -> timers.remove(effect.key)
                is Effect.SendControlCommand -> control(effect)
                is Effect.SendPeerMessage -> message(effect)
                is Effect.CallPlatform ->
                    schedule(platform.delay) {
                        val answer = platform.answer(effect.request)
                        schedule(platform.delay) { receive(Event.PlatformAnswered(effect.call, answer)) }
                    }
                else -> Unit
            }
        }

        private fun startTimer(key: TimerKey, delay: Millis) {
            val number = order
            timers[key] = number
            schedule(delay.value) {
                if (timers[key] == number) {
                    timers.remove(key)
                    receive(Event.TimerFired(key))
                }
            }
        }

        private fun message(effect: Effect.SendPeerMessage) {
            val peer = nodes.first { it.identity == effect.to }
            if (isConnected(domain, peer.domain) && setOf(domain, peer.domain) !in mutedPeers) {
                schedule(latency(domain, peer.domain)) {
                    peer.receive(Event.PeerMessageReceived(identity, effect.message))
                }
            }
        }

        private fun control(effect: Effect.SendControlCommand) {
            commands += effect.command
            val server = servers.first { it.name == effect.server }
            val deadline = now + effect.timeout.value
            val failAt = { at: Long, failure: ConnectionFailure ->
                schedule(at - now) { receive(Event.ControlFailed(effect.call, server.name, failure)) }
            }
            when {
                !isConnected(domain, server.domain) -> failAt(deadline, ConnectionFailure.TIMED_OUT)
                !server.up -> failAt(now + 2 * LATENCY, ConnectionFailure.REFUSED)
                else -> {
                    val wait = (effect.command as? ControlCommand.Confirm)?.waitMillis ?: 0
                    schedule(latency(domain, server.domain)) { serve(server, effect, now + wait, deadline) }
                }
            }
        }

        private fun serve(server: FakeServer, effect: Effect.SendControlCommand, waitUntil: Long, deadline: Long) {
            val answer = if (server.up) server.answer(effect.command, now >= waitUntil) else null
            val arrival = now + latency(domain, server.domain)
            when {
                !server.up -> schedule(LATENCY) { fail(effect, ConnectionFailure.BROKEN) }
                answer == null -> schedule(1) { serve(server, effect, waitUntil, deadline) }
                arrival > deadline || !isConnected(domain, server.domain) ->
                    schedule(maxOf(0, deadline - now)) { fail(effect, ConnectionFailure.TIMED_OUT) }
                else -> schedule(arrival - now) { receive(Event.ControlAnswered(effect.call, server.name, answer)) }
            }
        }

        private fun fail(effect: Effect.SendControlCommand, failure: ConnectionFailure) =
            receive(Event.ControlFailed(effect.call, effect.server, failure))
    }

    private companion object {
        const val START = 1_000_000L
        const val LATENCY = 1L
        const val JITTER = 3L
        const val REPLICATION_PERIOD = 2L
    }
}
