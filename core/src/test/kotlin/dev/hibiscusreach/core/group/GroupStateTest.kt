package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.event.ServerStatus
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.core.reducer.GroupSettings
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThan
import strikt.assertions.isNull

class GroupStateTest {
    private val group = GroupSimulation().group
    private val names = group.servers.map { it.name }
    private val start = position(term = 1, index = 10)
    private val state =
        GroupState(
            group,
            GroupSettings(),
            monitoredSince = MonotonicTime(0),
            term = Term(2),
            primary = names[0],
            termStart = start,
        ).seeing(0, term = 2, position(term = 2, index = 11), sentAt = 300)

    // Guards against counting entries of a replaced primary as durable because their server is fenced in the new term.
    @Test
    fun `entries past the start of the term count only up to that start`() {
        val fenced =
            state
                .seeing(1, term = 2, position(term = 1, index = 20), sentAt = 200)
                .seeing(2, term = 2, position(term = 1, index = 5), sentAt = 100)

        expectThat(fenced.durable()).isEqualTo(start)
    }

    // Guards against counting entries as durable while it is unknown whether the current primary has them.
    @Test
    fun `older entries do not count as long as the start of the term is unknown`() {
        val unknown = state.copy(termStart = null).seeing(1, term = 2, position(term = 1, index = 20), sentAt = 200)

        expectThat(unknown.durable()).isEqualTo(Position.ORIGIN)
    }

    // Guards against a replaced primary that keeps answering with its old term.
    @Test
    fun `a server in another term counts for neither durability nor leadership`() {
        val split =
            state
                .seeing(1, term = 1, position(term = 1, index = 20), sentAt = 200)
                .seeing(2, term = 3, position(term = 2, index = 11), sentAt = 100)

        expectThat(split.durable()).isEqualTo(Position.ORIGIN)
        expectThat(split.leadershipVerifiedAt()).isNull()
    }

    // Guards against dating leadership by the latest answer instead of the one that completes a majority.
    @Test
    fun `leadership is verified as of the answer that completes a majority`() {
        val answered = state.seeing(2, term = 2, start, sentAt = 100)

        expectThat(answered.leadershipVerifiedAt()).isEqualTo(MonotonicTime(100))
    }

    // Guards against reads of unacknowledged entries on a server that was fenced but does not follow the primary yet.
    @Test
    fun `a server is offered for reads only once it follows the primary`() {
        val fenced = state.seeing(1, term = 2, position(term = 1, index = 20), sentAt = 200)
        val former = fenced.withHealth(names[1]) { it.copy(followedTerm = Term(1)) }
        val following = fenced.withHealth(names[1]) { it.copy(followedTerm = Term(2)) }

        val now = MonotonicTime(200 + DELAY)
        expectThat(listOf(fenced, former, following).map { it.view(names[1], now).reachable })
            .isEqualTo(listOf(false, false, true))
    }

    // Guards against an outdated answer that arrives late and overwrites the newer state of a server.
    @Test
    fun `late answers change neither term nor position`() {
        val late =
            state
                .seeing(1, term = 2, position(term = 2, index = 11), sentAt = 200)
                .seeing(1, term = 1, position(term = 1, index = 20), sentAt = 150)
                .seeing(1, term = 2, position(term = 2, index = 8), sentAt = 160)

        expectThat(late.healthOf(names[1]).status?.applied).isEqualTo(position(term = 2, index = 11))
    }

    // Guards against a list of samples that grows without bound during a long partition.
    @Test
    fun `samples stay bounded and cover a long time`() {
        val samples =
            (1L..10_000).fold(HeadSamples()) { list, number ->
                val sent = MonotonicTime(number * 50)
                list.adding(HeadSample(sent, position(term = 2, number), Term(2))).verifiedUntil(Term(2), sent)
            }

        expectThat(samples.verified.size).isLessThan(300)
        // Thinning may make an age appear up to one eighth too high.
        expectThat(samples.sentAt(5_000)).isIn(215_000L..250_000L)
        expectThat(samples.sentAt(9_999)).isIn(499_900L..499_950L)
    }

    private fun HeadSamples.sentAt(index: Long) = newestWithin(position(term = 2, index))?.sentAt?.millis ?: -1

    private fun GroupState.seeing(server: Int, term: Long, applied: Position, sentAt: Long): GroupState {
        val role = if (server == 0) ServerRole.PRIMARY else ServerRole.REPLICA
        val status = ServerStatus(names[server], Term(term), role, applied)
        return withHealth(names[server]) { it.observed(status, MonotonicTime(sentAt), MonotonicTime(sentAt + DELAY)) }
    }

    private fun position(term: Long, index: Long) = Position(Term(term), index)

    private companion object {
        const val DELAY = 500L
    }
}
