package dev.hibiscusreach.systemtests.processes

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.extension.ExtendWith
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.util.UUID
import java.util.concurrent.CompletableFuture

@ExtendWith(FleetExtension::class)
internal class PausedProxyProcessTest(private val fleet: ProcessFleet) {
    private val caller = fleet.caller

    // Guards against a paused proxy that goes on with leases, connections or requests that others have taken over.
    @Test
    fun `a proxy paused for longer than its leases loses and doubles no sign-off and answers its callers truly`() {
        val paused = fleet.home(fleet.primary().failureDomain)
        val drive = Drive(fleet, "paused-drive", DRIVE_MILLIS)
        Thread.sleep(LOAD_MILLIS)
        val started = List(SIGN_OFFS) { SignOff(paused, pauseMillis = STATEMENT_MILLIS) }
        Thread.sleep(STATEMENT_MILLIS / 2)

        fleet.processes.signal(paused.name, "STOP")
        val arrivedMeanwhile = List(SIGN_OFFS) { SignOff(paused, pauseMillis = 0) }
        Thread.sleep(PAUSE_MILLIS)
        fleet.processes.signal(paused.name, "CONT")

        (started + arrivedMeanwhile).forEach { it.expectTruth() }
        drive.expectExact()
        expectThat(fleet.processes.isAlive(paused.name)).isTrue()
    }

    /** A sign-off with a counter of its own, sent to one proxy. */
    private inner class SignOff(proxy: FleetProxy, pauseMillis: Long) {
        private val key = "paused-${UUID.randomUUID()}"
        private val write = CallerWrite(listOf("add $key 1", "sleep $pauseMillis"))
        private val answer: CompletableFuture<CallerReply> = caller.writeLater(proxy.caller, write)

        fun expectTruth() {
            val reply = answer.join()
            val other = fleet.proxies.first().caller
            val counted = awaitValue("a read") { caller.read(other, key).takeIf { it.succeeded } }.value ?: "0"
            val possible =
                when (reply.ran) {
                    "ran" -> listOf("1")
                    "not run" -> listOf("0")
                    else -> listOf("0", "1")
                }
            expectThat(possible).describedAs("possible counts after $reply").contains(counted)
            val final = awaitValue("a final answer") { caller.write(other, write).takeIf { !it.mayRepeat } }
            val after = awaitValue("a read") { caller.read(other, key).takeIf { it.succeeded } }.value ?: "0"
            expectThat(after).describedAs("count after $final").isEqualTo(if (final.succeeded) "1" else "0")
        }
    }

    private companion object {
        const val SIGN_OFFS = 4
        const val LOAD_MILLIS = 1_000L
        const val STATEMENT_MILLIS = 400L

        /** Permits are leased for 3 s plus a margin of 0.5 s, and shares are taken over after 3 s. */
        const val PAUSE_MILLIS = 6_000L
        const val DRIVE_MILLIS = 9_000
    }
}
