package dev.hibiscusreach.systemtests.processes

import org.junit.jupiter.api.Test
import org.junit.jupiter.api.extension.ExtendWith
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.io.File

@ExtendWith(FleetExtension::class)
internal class ConcurrentOperatorsProcessTest(private val fleet: ProcessFleet) {
    private val generation = fleet.generation()
    private val operators = listOf(Operator("one", connectionLimit = 31), Operator("two", connectionLimit = 37))

    // Guards against an operator's rules that replace another operator's unnoticed, and against a change that is
    // applied again when it is sent again.
    @Test
    fun `of two operators with different rules one is told what the other changed and a repetition changes nothing`() {
        val started = operators.map { it to it.start() }
        val finished = started.associate { (operator, process) -> operator to operator.finish(process) }
        val finishedAt = System.nanoTime()

        expectThat(finished.values.map { it.exitCode }).containsExactlyInAnyOrder(0, LOST)
        val winner = finished.entries.first { it.value.exitCode == 0 }.key
        val loser = finished.entries.first { it.value.exitCode == LOST }.key
        expectThat(finished.getValue(loser).errors) {
            contains("another edit came first")
            contains("changed rule of caller ${FleetFiles.CALLER}: connection limit")
            contains("-> ${winner.connectionLimit}")
        }
        expectThat(File(loser.file).readText()).contains("\"connectionLimit\": ${loser.connectionLimit},")
        awaitTrue("the winner's rules are in effect") { fleet.generations() == setOf(generation + 1) }
        expectThat(millisSince(finishedAt)).isLessThan(CHANGE_MILLIS)

        val repeated = fleet.load("operator-again", winner.file, "--rules", "--change", winner.change)
        expectThat(repeated.exitCode).isEqualTo(0)
        expectThat(repeated.output).contains("is loaded already")
        expectThat(fleet.generations()).isEqualTo(setOf(generation + 1))
    }

    /** One operator, who made the rules from the generation in effect before the test. */
    private inner class Operator(name: String, val connectionLimit: Int) {
        private val process = "operator-$name"
        val change = "change-$name-$generation"
        val file = fleet.files.rules("rules-$name", connectionLimit)

        fun start(): Process {
            val edit = listOf("--change", change, "--base", generation.toString())
            val arguments = fleet.files.loadArguments(file, "--rules") + edit
            return fleet.processes.start(process, Program.HIBISCUSREACH, arguments)
        }

        fun finish(started: Process): FinishedProcess = fleet.processes.finish(process, started)
    }

    private companion object {
        /** The exit code of a load that lost to a concurrent edit. */
        const val LOST = 5

        /** The target for a change to take effect everywhere. */
        const val CHANGE_MILLIS = 7_000L
    }
}
