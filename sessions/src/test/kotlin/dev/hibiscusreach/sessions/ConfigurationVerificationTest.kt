package dev.hibiscusreach.sessions

import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty

/**
 * A proxy whose source of reads no longer tells it anything new. Guards against hosts that act by an old version of the
 * configuration until a source works again.
 */
class ConfigurationVerificationTest {
    private val proxy =
        ProxyFixture().ready().apply {
            repeat(2) {
                feed(SessionEvent.ConfigurationConfirmed(MonotonicTime(now)))
                advanceTime(1_000)
            }
        }

    private fun confirm(ageMillis: Long = 0) =
        proxy.feed(SessionEvent.ConfigurationConfirmed(MonotonicTime(proxy.now - ageMillis)))

    /** The times from now at which the store itself is asked. */
    private fun verificationsWithin(millis: Long): List<Long> {
        val start = proxy.now
        proxy.takeEffects()
        return (0 until millis step STEP_MILLIS).mapNotNull {
            proxy.advanceTime(STEP_MILLIS)
            (proxy.now - start).takeIf { SessionEffect.VerifyConfiguration in proxy.takeEffects() }
        }
    }

    @Test
    fun `the store itself is asked before a version is due - guards against waits for the next source`() {
        confirm()
        expectThat(verificationsWithin(BOUND_MILLIS).first()).isLessThan(BOUND_MILLIS - ANSWER_MILLIS)
    }

    @Test
    fun `the servers are read at the store as well - guards against work for servers that have left meanwhile`() {
        confirm()
        proxy.advanceTime(BOUND_MILLIS - ANSWER_MILLIS)
        expectThat(proxy.takeEffects()).contains(SessionEffect.ReadServers)
    }

    @Test
    fun `a peer that answers with old knowledge does not keep the proxy from asking the store`() {
        confirm()
        val verifications =
            (0 until BOUND_MILLIS - ANSWER_MILLIS step 200).flatMap {
                confirm(ageMillis = BOUND_MILLIS)
                verificationsWithin(200)
            }
        expectThat(verifications).isNotEmpty()
    }

    @Test
    fun `a late answer about an earlier time does not make the configuration older`() {
        confirm()
        confirm(ageMillis = 2_000)
        expectThat(verificationsWithin(2_400)).isEmpty()
    }

    @Test
    fun `the store is not asked while reads confirm the configuration - guards against calls by all hosts`() {
        repeat(10) {
            confirm(ageMillis = 1_000)
            expectThat(verificationsWithin(1_200)).isEmpty()
        }
    }

    @Test
    fun `while the store is lost it is asked once a second - guards against a flood of calls in an outage`() {
        confirm()
        expectThat(verificationsWithin(6_000).size).isEqualTo(4)
    }

    @Test
    fun `in a large fleet each host asks less often - guards against more calls in an outage than the store accepts`() {
        val large = ProxyFixture(proxies = 1_300).ready()
        large.advanceTime(10_000)
        expectThat(large.takeEffects().count { it == SessionEffect.VerifyConfiguration }).isEqualTo(3)
    }

    @Test
    fun `a proxy that has read no configuration asks again`() {
        val started = ProxyFixture()
        started.feed(SessionEvent.Started)
        started.advanceTime(1_200)
        expectThat(started.takeEffects().count { it == SessionEffect.VerifyConfiguration }).isEqualTo(1)
    }

    // Guards against a start of all hosts in which each of them lists a long configuration at the store.
    @Test
    fun `a proxy with a source waits for its first configuration as long as for a later one`() {
        val started = ProxyFixture()
        started.feed(SessionEvent.Started)
        started.readFleet()
        started.advanceTime(2_300)
        expectThat(started.takeEffects().count { it == SessionEffect.VerifyConfiguration }).isEqualTo(0)
        started.advanceTime(300)
        expectThat(started.takeEffects().count { it == SessionEffect.VerifyConfiguration }).isEqualTo(1)
    }

    private companion object {
        const val STEP_MILLIS = 100L

        /** Time after its confirmation at which a version has to be in force. */
        const val BOUND_MILLIS = 3_000L

        /** Time for the answer of the store and for a host that is busy. */
        const val ANSWER_MILLIS = 400L
    }
}
