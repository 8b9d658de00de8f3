package dev.hibiscusreach.systemtests.stops

import java.util.concurrent.TimeUnit

/** Compares what callers were told with what servers have done. */
internal class StopFindings(private val ledger: StatementLedger, private val stops: StopLog) {
    /** One line for each broken promise. */
    fun all(): List<String> = ledger.statements.mapNotNull(::finding)

    private fun finding(statement: SentStatement): String? {
        val identifier = statement.identifier
        return when (val outcome = statement.outcome) {
            StatementOutcome.Open -> "never ended: ${describe(statement)}"
            is StatementOutcome.Unanswered -> unanswered(statement, outcome)
            is StatementOutcome.Answered ->
                when {
                    ledger.commitsOf(identifier) > 1 -> "took effect twice: ${describe(statement)}"
                    outcome.code in PROMISES && ledger.commitsOf(identifier) > 0 ->
                        "refused with ${outcome.code} but took effect: ${describe(statement)}"
                    outcome.code == null && statement.needsServer && outcome.proof != proofOf(identifier) ->
                        "answered with the proof ${outcome.proof}: ${describe(statement)}"
                    else -> null
                }
        }
    }

    // A caller may send a statement just as its connection is closed. It is not lost if the close follows at once.
    private fun unanswered(statement: SentStatement, outcome: StatementOutcome.Unanswered): String? {
        val held = TimeUnit.NANOSECONDS.toMillis(outcome.endedAt - statement.sentAt)
        if (ledger.runsOf(statement.identifier).isEmpty() && held <= SLACK_MILLIS) return null
        return "no whole answer after $held ms: ${describe(statement)} ${stops.describe(statement, outcome.endedAt)}"
    }

    private fun describe(statement: SentStatement): String {
        val runs = ledger.runsOf(statement.identifier).map { run ->
            val owner = run.owner.get()
            "ran at ${run.server}, sent by ${if (owner == statement.node) "its own host" else owner}"
        }
        val ran = if (runs.isEmpty()) "not run" else runs.joinToString()
        return "${statement.identifier} ${statement.text} of a caller ${statement.style} at ${statement.node}, $ran"
    }

    companion object {
        /** The time that a caller's statement and the close of its connection may take to meet. */
        private const val SLACK_MILLIS = 200L

        /** Codes by which nothing of the statement is kept. */
        private val PROMISES = setOf("BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "MAXCONN")

        private val SentStatement.needsServer
            get() = text.startsWith("READ") || text.startsWith("WRITE") || text == "COMMIT"

        /** The proof with which a server answers the statement [identifier]. */
        fun proofOf(identifier: String): String = "proof-$identifier"
    }
}
