package dev.hibiscusreach.core.model

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class SessionTokenTest {
    private val jobs = DatabaseName("jobs")
    private val orders = DatabaseName("orders")

    // A merge that dropped a position would let a session that wrote through two proxies miss one of its writes.
    @Test
    fun `merging two tokens keeps the highest position of each database`() {
        val first = SessionToken(mapOf(jobs to position(term = 1, index = 10), orders to position(term = 2, index = 1)))
        val second = SessionToken(mapOf(jobs to position(term = 2, index = 3)))

        expectThat(first.merge(second))
            .isEqualTo(
                SessionToken(mapOf(jobs to position(term = 2, index = 3), orders to position(term = 2, index = 1)))
            )
    }

    @Test
    fun `a token without a database starts at the origin`() {
        expectThat(SessionToken().positionOf(jobs)).isEqualTo(Position.ORIGIN)
    }

    private fun position(term: Long, index: Long) = Position(Term(term), index)
}
