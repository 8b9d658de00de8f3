package dev.hibiscusreach.sessions

import dev.hibiscusreach.sessions.ProxyFixture.Companion.PRIMARY
import dev.hibiscusreach.sessions.ProxyFixture.Companion.WRITE
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.SessionReply
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.isA
import strikt.assertions.isFalse

/** A graceful stop: readiness ends first, and the process exits only after late sessions are served. */
class GracefulStopTest {
    private val proxy = ProxyFixture().ready()

    @Test
    fun `a proxy stops being ready as soon as a stop is requested`() {
        proxy.feed(SessionEvent.StopRequested)
        expectThat(proxy.state.ready).isFalse()
    }

    @Test
    fun `a session that arrives after the last one has ended is served - guards against a request cut by the exit`() {
        proxy.feed(SessionEvent.StopRequested)
        proxy.advanceTime(2_300, groups = false)
        expectThat(proxy.takeEffects()).contains(SessionEffect.StopListening).doesNotContain(SessionEffect.Exit)
        val late = proxy.session(9)
        proxy.send(late, WRITE)
        proxy.advanceTime(300, groups = false)
        expectThat(proxy.takeEffects()).doesNotContain(SessionEffect.Exit)
        proxy.complete(proxy.busyConnection(PRIMARY))
        expectThat(proxy.reply(late)).isA<SessionReply.Completed>()
        proxy.advanceTime(50, groups = false)
        expectThat(proxy.takeEffects()).contains(SessionEffect.Exit)
    }
}
