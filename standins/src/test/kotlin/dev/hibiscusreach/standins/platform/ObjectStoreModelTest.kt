package dev.hibiscusreach.standins.platform

import dev.hibiscusreach.core.event.ListedHost
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class ObjectStoreModelTest {
    private val store = ObjectStoreModel(ObjectStoreSettings(hostListLagMillis = 100, writesPerSecond = 2))

    private fun answer(request: PlatformCall): PlatformAnswer? =
        (store.call(1, request, now = 0) as? PlatformReply.Answered)?.answer

    @Test
    fun `a put with an outdated version changes nothing, so that concurrent edits do not overwrite each other`() {
        expectThat(answer(PlatformCall.Put("k", "a", 0))).isEqualTo(PlatformAnswer.Stored("k", 1))
        expectThat(answer(PlatformCall.Put("k", "b", 0))).isEqualTo(PlatformAnswer.VersionConflict("k", 1))
        expectThat(answer(PlatformCall.Get("k"))).isEqualTo(PlatformAnswer.Found("k", "a", 1))
    }

    @Test
    fun `a lost answer leaves the change in effect, because the platform's answers can be lost`() {
        store.answersToLose = 1

        expectThat(store.call(1, PlatformCall.Put("k", "a", 0), 0)).isEqualTo(PlatformReply.Lost)
        expectThat(answer(PlatformCall.Get("k"))).isEqualTo(PlatformAnswer.Found("k", "a", 1))
    }

    @Test
    fun `a watch ends with the change or with its wait, so that a change is seen without polling`() {
        val watch = PlatformCall.Watch("k", afterVersion = 0, waitMillis = 50)
        expectThat(store.call(7, watch, 0)).isEqualTo(PlatformReply.Waiting)
        expectThat(store.completedWatches(0)).isEmpty()
        store.call(1, PlatformCall.Put("k", "a", 0), 10)
        expectThat(store.completedWatches(10))
            .containsExactly(CompletedWatch(7, PlatformReply.Answered(PlatformAnswer.Found("k", "a", 1), 0)))

        store.call(8, watch.copy(afterVersion = 1), 20)
        expectThat(store.nextWatchDeadline).isEqualTo(70)
        expectThat(store.completedWatches(70))
            .containsExactly(CompletedWatch(8, PlatformReply.Answered(PlatformAnswer.Unchanged("k"), 0)))
    }

    @Test
    fun `an outage refuses calls and ends watches, so that callers notice it`() {
        store.call(7, PlatformCall.Watch("k", 0, 50), 0)
        store.outage = true

        expectThat(store.call(1, PlatformCall.Get("k"), 0)).isEqualTo(PlatformReply.Unavailable)
        expectThat(store.completedWatches(0)).containsExactly(CompletedWatch(7, PlatformReply.Unavailable))
    }

    @Test
    fun `calls above the rate limit are refused until time passes, because limits grow slower than the fleet`() {
        repeat(2) { answer(PlatformCall.Put("k", "a", it.toLong())) }

        expectThat(store.call(1, PlatformCall.Put("k", "a", 2), 0)).isEqualTo(PlatformReply.RateLimited)
        expectThat(store.call(1, PlatformCall.Put("k", "a", 2), 500)).isA<PlatformReply.Answered>()
        expectThat(store.callCounts).isEqualTo(mapOf(CallKind.PUT to 4L))
    }

    @Test
    fun `the host list shows changes after its lag, because it lags behind the actual state`() {
        val host = ListedHost(Endpoint("127.0.0.1", 1), FailureDomainName("d"))
        store.setHosts(listOf(host), now = 0)

        expectThat(answer(PlatformCall.ListHosts)).isEqualTo(PlatformAnswer.Hosts(emptyList()))
        val later = store.call(1, PlatformCall.ListHosts, now = 100)
        expectThat(later).isEqualTo(PlatformReply.Answered(PlatformAnswer.Hosts(listOf(host)), 0))
    }
}
