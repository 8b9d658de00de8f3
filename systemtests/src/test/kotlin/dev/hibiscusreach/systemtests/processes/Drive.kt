package dev.hibiscusreach.systemtests.processes

import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotNull
import java.io.File

/** One attempt of the load driver, with times of the machine's monotonic clock. */
internal data class DriveAttempt(val kind: String, val invokedNanos: Long, val outcome: String, val server: String)

/** A running load of sign-offs and reads from sessions that roam between the proxies. */
internal class Drive(
    private val fleet: ProcessFleet,
    private val name: String,
    durationMillis: Int,
    vararg more: String
) {
    private val process =
        fleet.processes.start(
            name,
            Program.STANDINS,
            listOf("drive") + fleet.files.driveArguments("$name.records", durationMillis) + more,
        )

    /** The attempts of the finished run. */
    val attempts: List<DriveAttempt> by lazy {
        File(fleet.files.path("$name.records")).readLines().drop(1).map { line ->
            val fields = line.split(',')
            DriveAttempt(fields[KIND], fields[INVOKED].toLong(), fields[OUTCOME], fields[SERVER])
        }
    }

    /** Waits for the end; the sum of the counters must equal the acknowledged sign-offs, with none left in doubt. */
    fun expectExact() {
        val finished = fleet.processes.finish(name, process)
        val figures = expectThat(summary.find(finished.output)).describedAs(finished.output).isNotNull().subject
        val (acknowledged, counted) = figures.destructured
        expectThat(finished) {
            get { exitCode }.isEqualTo(0)
            get { acknowledged.toInt() }.isGreaterThan(0)
            get { counted }.isEqualTo(acknowledged)
        }
    }

    private companion object {
        const val KIND = 2
        const val INVOKED = 4
        const val OUTCOME = 6
        const val SERVER = 7
        val summary = Regex("""sign-offs: acknowledged (\d+), counted (\w+), unresolved 0, violations 0,""")
    }
}
