package dev.hibiscusreach.core.pool

import dev.hibiscusreach.core.event.AttemptNumber
import dev.hibiscusreach.core.event.PartName
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.MonotonicTime
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue

class FairQueueTest {
    private val busy = CallerName("busy")
    private val quiet = CallerName("quiet")

    // Guards against a caller that starves the others by sending many requests first.
    @Test
    fun `waiters are served round robin between callers`() {
        val queue = queue(busy to 1, busy to 2, busy to 3, quiet to 4)

        expectThat(served(queue) { true }).isEqualTo(listOf<Long>(1, 4, 2, 3))
    }

    // Guards against a caller without permits that blocks the callers queued behind it.
    @Test
    fun `callers that are not eligible are skipped and keep their position`() {
        val queue = queue(busy to 1, quiet to 2, busy to 3)

        expectThat(served(queue) { it == quiet }).isEqualTo(listOf<Long>(2))
        expectThat(queue.poll { it == quiet }?.second?.count(busy)).isEqualTo(2)
    }

    // Guards against a full queue that evicts a waiter of a caller with few waiters.
    @Test
    fun `the latest waiter of the caller with the most waiters is evicted`() {
        expectThat(queue(busy to 1, busy to 2, quiet to 3).evictionCandidate()?.attempt?.value).isEqualTo(2)
    }

    // Guards against a queue that still counts removed waiters and so never frees its pool.
    @Test
    fun `a queue is empty after its last waiter is removed`() {
        val queue = queue(busy to 1)

        expectThat(queue.remove(queue.waiters.single()).isEmpty).isTrue()
    }

    private fun queue(vararg waiters: Pair<CallerName, Long>): FairQueue =
        waiters.fold(FairQueue()) { queue, (caller, number) ->
            queue.add(Waiter(AttemptNumber(PartName.REQUESTS, number), caller, MonotonicTime(0)))
        }

    private fun served(queue: FairQueue, isEligible: (CallerName) -> Boolean): List<Long> =
        generateSequence(queue.poll(isEligible)) { (_, rest) -> rest.poll(isEligible) }
            .map { (waiter, _) -> waiter.attempt.value }
            .toList()
}
