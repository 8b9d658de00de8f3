package dev.hibiscusreach.systemtests.primaries

import dev.hibiscusreach.systemtests.stops.CallerStyle
import dev.hibiscusreach.systemtests.stops.Commit
import dev.hibiscusreach.systemtests.stops.ReplicatedLog
import dev.hibiscusreach.systemtests.stops.SentStatement
import dev.hibiscusreach.systemtests.stops.StatementObserver
import dev.hibiscusreach.systemtests.stops.StatementOutcome
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference

/**
 * Compares what callers were told with the logs of the servers: no commit of a replaced primary is acknowledged, each
 * acknowledged one is kept, and reads of a route to the primary see each commit that was acknowledged before. Reads
 * within transactions are not checked, because they may see the data of the transaction's start.
 */
internal class AcknowledgementCheck : StatementObserver {
    /** The servers' logs; set before the first statement. */
    lateinit var log: ReplicatedLog

    private val commits = ConcurrentHashMap<String, Commit>()
    private val required = ConcurrentHashMap<String, Commit>()
    private val staleRuns = ConcurrentHashMap<String, String>()
    private val latest = AtomicReference<Commit>()
    private val acknowledged = ConcurrentLinkedQueue<Commit>()
    private val found = ConcurrentLinkedQueue<String>()
    private val checkedReads = AtomicInteger()

    /** Number of acknowledged commits. */
    val acknowledgements: Int get() = acknowledged.size

    /** Number of reads that were checked. */
    val reads: Int get() = checkedReads.get()

    /** One line for each broken promise, including acknowledged commits that the current primary lacks. */
    fun findings(): List<String> =
        found + acknowledged.filter { !log.contains(log.leader, it) }.map { "acknowledged and lost: commit $it" }

    override fun sent(statement: SentStatement) {
        val isRead = statement.text.startsWith("READ") && statement.style in SINGLE_STATEMENTS
        if (isRead) latest.get()?.let { required[statement.identifier] = it }
    }

    override fun ran(identifier: String, server: String) {
        val before = required[identifier] ?: return
        // A repeated read is answered with the rows of its last run.
        if (log.contains(server, before)) {
            staleRuns -= identifier
        } else {
            staleRuns[identifier] = "read at $server without the commit $before"
        }
    }

    override fun committed(identifier: String, commit: Commit) {
        commits[identifier] = commit
    }

    override fun answered(statement: SentStatement, outcome: StatementOutcome.Answered) {
        if (outcome.code != null) return
        val commit = commits[statement.identifier]?.takeIf { it.identifier == statement.identifier }
        if (commit != null) {
            acknowledged += commit
            latest.accumulateAndGet(commit, ::later)
            if (commit.isAfterReplacement) found += "acknowledged at a replaced primary: $commit, ${name(statement)}"
        }
        if (required.remove(statement.identifier) != null) checkedReads.incrementAndGet()
        staleRuns[statement.identifier]?.let { found += "$it, ${name(statement)}" }
    }

    private fun name(statement: SentStatement) = "${statement.text} ${statement.identifier} of ${statement.node}"

    private fun later(known: Commit?, commit: Commit): Commit =
        if (known == null || commit.isAfter(known)) commit else known

    private fun Commit.isAfter(other: Commit) = term > other.term || term == other.term && index > other.index

    private companion object {
        val SINGLE_STATEMENTS = setOf(CallerStyle.SINGLE, CallerStyle.THREE_TOGETHER, CallerStyle.SESSION_EACH)
    }
}
