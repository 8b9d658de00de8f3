package dev.hibiscusreach.systemtests.processes

import dev.hibiscusreach.core.event.ServerRole
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.extension.ExtendWith
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty

@ExtendWith(FleetExtension::class)
internal class IsolatedPrimaryProcessTest(private val fleet: ProcessFleet) {
    // Guards against a replaced primary that acknowledges sign-offs, which are lost with its part of the log.
    @Test
    fun `an isolated primary is replaced and acknowledges nothing although it comes back`() {
        val old = fleet.primary()
        val drive = Drive(fleet, "isolated-drive", DRIVE_MILLIS)
        Thread.sleep(LOAD_MILLIS)

        fleet.serverFault(old, """{"isolated":true}""")
        val isolated = System.nanoTime()
        awaitTrue("another primary") { fleet.primary() != old }
        awaitTrue("a sign-off through the other primary") {
            fleet.caller.write(fleet.proxies.last().caller, CallerWrite(listOf("add after-isolation 1"))).succeeded
        }
        expectThat(millisSince(isolated)).isLessThan(PRIMARY_CHANGE_MILLIS)
        fleet.serverFault(old, """{"isolated":false}""")

        drive.expectExact()
        val late = drive.attempts.filter { it.kind == "WRITE" && it.outcome == "ok" && it.invokedNanos > isolated }
        expectThat(late).isNotEmpty()
        expectThat(late.filter { it.server == old.name }).isEmpty()
        awaitTrue("the old primary follows the other one") {
            fleet.status(old).run { role == ServerRole.REPLICA && term == fleet.status(fleet.primary()).term }
        }
        awaitTrue("the old primary holds what the other one holds") {
            fleet.status(old).applied == fleet.status(fleet.primary()).applied
        }
    }

    private companion object {
        const val LOAD_MILLIS = 1_500L
        const val DRIVE_MILLIS = 9_000

        /** The target for a primary change. */
        const val PRIMARY_CHANGE_MILLIS = 9_000L
    }
}
