package dev.hibiscusreach.core.membership

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize

class MembershipPartTest {
    private val fleet = TestFleet()

    // Guards against a process that joins through one seed and never learns of the others.
    @Test
    fun `processes that share one seed find each other`() {
        val nodes = fleet.startAll(count = 8)

        expectThat(nodes).all { get { membership.livePeers() }.hasSize(7) }
    }
}
