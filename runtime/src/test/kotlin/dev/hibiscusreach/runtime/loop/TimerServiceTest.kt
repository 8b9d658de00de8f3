package dev.hibiscusreach.runtime.loop

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.TimerKey
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.milliseconds
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class TimerServiceTest {
    private val timers = TimerService()
    private val start = MonotonicTime(1_000)

    private fun due(afterMillis: Int): List<TimerKey> =
        generateSequence { timers.pollDue(start + afterMillis.milliseconds) }.toList()

    /** Guards against timers that fire early, or in another order than they are due. */
    @Test
    fun `timers fire when they are due, in order`() {
        timers.start(TimerKey.PoolPeriod, 20.milliseconds, start)
        timers.start(TimerKey.DrainStep, 10.milliseconds, start)
        timers.start(TimerKey.MembershipPeriod, 30.milliseconds, start)
        expectThat(due(9)).isEqualTo(emptyList())
        expectThat(due(20)).isEqualTo(listOf(TimerKey.DrainStep, TimerKey.PoolPeriod))
        expectThat(timers.untilNext(start + 25.milliseconds)).isEqualTo(5.milliseconds)
    }

    /** Guards against a replaced or cancelled timer that fires nevertheless. */
    @Test
    fun `a timer that is started again or cancelled does not fire at its old time`() {
        timers.start(TimerKey.PoolPeriod, 10.milliseconds, start)
        timers.start(TimerKey.PoolPeriod, 30.milliseconds, start)
        timers.start(TimerKey.DrainStep, 10.milliseconds, start)
        timers.cancel(TimerKey.DrainStep)
        expectThat(due(29)).isEqualTo(emptyList())
        expectThat(due(30)).isEqualTo(listOf<TimerKey>(TimerKey.PoolPeriod))
        expectThat(timers.untilNext(start)).isNull()
    }

    /** Guards against memory that grows with every request that ends before its deadline. */
    @Test
    fun `cancelled timers are removed`() {
        repeat(100_000) {
            val key = TimerKey.RequestDeadline(ArrivalNumber(it.toLong()))
            timers.start(key, 10_000.milliseconds, start)
            timers.cancel(key)
        }
        expectThat(timers.size).isEqualTo(0)
        expectThat(timers.queueSize < 2_000).isEqualTo(true)
    }
}
