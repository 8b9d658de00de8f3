package dev.hibiscusreach.runtime.loop

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.milliseconds
import dev.hibiscusreach.core.reducer.ProxyReducer
import dev.hibiscusreach.core.reducer.ProxySettings
import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.ReducerPart
import dev.hibiscusreach.core.reducer.Step
import dev.hibiscusreach.runtime.adapter.Adapters
import dev.hibiscusreach.runtime.adapter.PeerLinks
import dev.hibiscusreach.runtime.adapter.PlatformClient
import dev.hibiscusreach.runtime.adapter.ServerControl
import dev.hibiscusreach.runtime.adapter.ServerSessions
import dev.hibiscusreach.runtime.adapter.Telemetry
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import java.lang.reflect.Proxy
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch

class EventLoopTest {
    private val settings =
        ProxySettings(NodeIdentity(Endpoint("127.0.0.1", 1), 1, 1), FailureDomainName("galway"))
    private val handled = CopyOnWriteArrayList<Event>()

    private inline fun <reified T> unused(): T =
        Proxy.newProxyInstance(T::class.java.classLoader, arrayOf(T::class.java)) { _, method, _ ->
            error("unexpected call of ${method.name}")
        } as T

    private fun withLoop(part: ReducerPart, test: (EventLoop) -> Unit) {
        val recording = ReducerPart { state, event, context ->
            part.handle(state, event, context).also { handled += event }
        }
        val loop = EventLoop(ProxyState.initial(settings), SystemClock(), ProxyReducer(listOf(recording)))
        val adapters =
            Adapters(
                callers = { error("adapter failure") },
                sessions = unused<ServerSessions>(),
                control = unused<ServerControl>(),
                platform = unused<PlatformClient>(),
                peers = unused<PeerLinks>(),
                telemetry = unused<Telemetry>(),
            )
        loop.use {
            it.start(adapters)
            test(it)
        }
    }

    /** Guards against a process that resumes after a pause and handles queued events before the overdue timers. */
    @Test
    fun `due timers are handled before queued events`() {
        val blocked = CountDownLatch(1)
        val entered = CountDownLatch(1)
        val part = ReducerPart { state, event, _ ->
            when (event) {
                Event.Started -> Step(state, listOf(Effect.StartTimer(TimerKey.PoolPeriod, 50.milliseconds)))
                Event.DrainRequested -> {
                    entered.countDown()
                    blocked.await()
                    Step(state)
                }
                is Event.TimerFired -> Step(state, listOf(Effect.Exit))
                else -> Step(state)
            }
        }
        withLoop(part) { loop ->
            loop.submit(Event.DrainRequested)
            entered.await()
            loop.submit(Event.PeerUnreachable(settings.self))
            Thread.sleep(100)
            blocked.countDown()
            expectThat(loop.awaitExit(5_000)).isTrue()
        }
        expectThat(handled.filter { it is Event.TimerFired || it is Event.PeerUnreachable }.first())
            .isEqualTo(Event.TimerFired(TimerKey.PoolPeriod))
    }

    /** Guards against an exception for one event that ends the process and fails all its requests. */
    @Test
    fun `the loop continues after an event fails`() {
        val part = ReducerPart { state, event, _ ->
            when (event) {
                Event.Started -> error("reducer failure")
                Event.DrainRequested -> Step(state, listOf(Effect.Exit))
                else -> Step(state)
            }
        }
        withLoop(part) { loop ->
            expectThat(loop.awaitExit(100)).isFalse()
            loop.submit(Event.DrainRequested)
            expectThat(loop.awaitExit(5_000)).isTrue()
            expectThat(loop.isAlive).isTrue()
        }
    }
}
