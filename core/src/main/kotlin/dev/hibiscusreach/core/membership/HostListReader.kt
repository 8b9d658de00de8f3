package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.ListedHost
import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.event.PartName
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.event.PlatformCallNumber
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.milliseconds
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.core.reducer.StepContext

/** Reads the platform's host list for the failure domain and contacts listed proxies and seeds that are not peers. */
internal class HostListReader(private val context: StepContext) {
    private val leavingHostsReporter = LeavingHostsReporter(context)

    /** Starts the period timer. The first period is short, because a process without peers depends on the list. */
    fun start(): Effect = Effect.StartTimer(TimerKey.HostListPeriod, jitter(FIRST_READ_DELAY))

    /** Removes expired reports, contacts missing seeds and, if this process is a watcher, reads the list. */
    fun periodFired(state: ProxyState): Step {
        val delay = state.settings.membership.hostListPeriod - MAXIMUM_JITTER + jitter(MAXIMUM_JITTER)
        return leavingHostsReporter
            .expire(state)
            .then { contactSeeds(it) }
            .then { if (Watchers.isWatcher(it) && it.membership.protocol.hostListCall == null) read(it) else Step(it) }
            .withEffects(Effect.StartTimer(TimerKey.HostListPeriod, delay))
    }

    /** Handles the answer to a read of the list. */
    fun answered(state: ProxyState, call: PlatformCallNumber, answer: PlatformAnswer): Step {
        val finished = state.withProtocol { copy(hostListCall = null) }
        return when {
            call != state.membership.protocol.hostListCall -> Step(state)
            answer is PlatformAnswer.Hosts ->
                leavingHostsReporter
                    .read(finished, answer.hosts)
                    .then { contact(it, proxiesOf(answer.hosts)) }
            else -> Step(finished, listOf(Effect.Log(LogLevel.WARN, "host list not read: $answer")))
        }
    }

    /** Contacts seeds that are not the endpoint of a live peer. */
    fun contactSeeds(state: ProxyState): Step = contact(state, state.settings.seeds)

    private fun read(state: ProxyState): Step {
        val sequence = state.membership.protocol.hostListCallCount + 1
        val call = PlatformCallNumber(PartName.MEMBERSHIP, sequence)
        return Step(
            state.withProtocol { copy(hostListCall = call, hostListCallCount = sequence) },
            listOf(
                Effect.CallPlatform(call, PlatformCall.ListHosts, state.settings.membership.platformTimeout),
                Effect.Count(CounterName.PLATFORM_CALLS, label = "hosts"),
            ),
        )
    }

    private fun proxiesOf(hosts: List<ListedHost>): List<Endpoint> =
        hosts.filter { it.server == null && !it.leaving }.map { it.peerEndpoint }

    private fun contact(state: ProxyState, endpoints: List<Endpoint>): Step {
        val unknown =
            endpoints
                .filter { it != state.settings.self.peerEndpoint && state.membership.livePeer(it) == null }
                .shuffled(context.randomFor("contacts"))
                .take(MAXIMUM_CONTACTS)
        return if (unknown.isEmpty()) Step(state) else Step(state, listOf(Effect.ContactSeeds(unknown)))
    }

    private fun jitter(limit: Millis): Millis = Millis(context.randomFor("host list").nextLong(limit.value + 1))

    private companion object {
        /** Endpoints contacted at a time. A few are enough, because each can provide its full view of the peers. */
        const val MAXIMUM_CONTACTS = 8

        val FIRST_READ_DELAY = 500.milliseconds

        /** Distributes the reads of processes that started together over time. */
        val MAXIMUM_JITTER = 1_000.milliseconds
    }
}
