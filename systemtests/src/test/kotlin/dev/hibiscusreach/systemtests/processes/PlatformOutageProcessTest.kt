package dev.hibiscusreach.systemtests.processes

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.extension.ExtendWith
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

@ExtendWith(FleetExtension::class)
internal class PlatformOutageProcessTest(private val fleet: ProcessFleet) {
    // Guards against requests that need the platform, and against a change that is neither refused nor made.
    @Test
    fun `reads and writes go on without the platform and a change of the configuration is refused until it is back`() {
        val rules = fleet.files.rules("outage-rules", connectionLimit = 28)
        val generation = fleet.generation()
        fleet.platformFault("""{"outage":true}""")
        val start = System.nanoTime()
        val drive = Drive(fleet, "outage-drive", DRIVE_MILLIS, "--forbid-broken")

        val refused = fleet.load("outage-load", rules, "--rules")

        expectThat(refused) {
            get { exitCode }.isEqualTo(UNREACHABLE)
            get { output }.isEqualTo("")
            get { errors }.contains("hibiscusreach: reading the configuration failed")
        }
        drive.expectExact()
        expectThat(drive.attempts.map { it.outcome }.toSet()).isEqualTo(setOf("ok"))
        Thread.sleep((OUTAGE_MILLIS - millisSince(start)).coerceAtLeast(0))
        fleet.platformFault("""{"outage":false}""")

        expectThat(fleet.generation()).isEqualTo(generation)
        val accepted = fleet.load("load-after-outage", rules, "--rules")
        val acceptedAt = System.nanoTime()
        expectThat(accepted).get { exitCode }.isEqualTo(0)
        awaitTrue("the change is in effect on every proxy") { fleet.generations() == setOf(generation + 1) }
        expectThat(millisSince(acceptedAt)).isLessThan(CHANGE_MILLIS)
    }

    private companion object {
        /** The exit code of a command that cannot reach the platform. */
        const val UNREACHABLE = 4
        const val OUTAGE_MILLIS = 20_000L

        /** Leaves time for the start and the end of the driver within the outage. */
        const val DRIVE_MILLIS = 15_000

        /** The target for a change to take effect everywhere. */
        const val CHANGE_MILLIS = 7_000L
    }
}
