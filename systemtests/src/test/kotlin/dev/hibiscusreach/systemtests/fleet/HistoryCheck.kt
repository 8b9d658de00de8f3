package dev.hibiscusreach.systemtests.fleet

import org.jetbrains.kotlinx.lincheck.Actor
import org.jetbrains.kotlinx.lincheck.ValueResult
import org.jetbrains.kotlinx.lincheck.execution.ExecutionResult
import org.jetbrains.kotlinx.lincheck.execution.ExecutionScenario
import org.jetbrains.kotlinx.lincheck.execution.HBClock
import org.jetbrains.kotlinx.lincheck.execution.ResultWithClock
import org.jetbrains.kotlinx.lincheck.verifier.VerifierState
import org.jetbrains.kotlinx.lincheck.verifier.linearizability.LinearizabilityVerifier
import java.lang.reflect.Method

/** Sequential specification of a counter. */
class Counter : VerifierState() {
    private var value = 0L

    /** Adds one and returns the new value. */
    fun add(): Long = ++value

    /** The present value. */
    fun get(): Long = value

    override fun extractState(): Any = value
}

/** Finds violations of what must always hold in a history. Each violation is a sentence. */
class HistoryCheck(private val history: History, private val mix: WorkloadMix) {
    /** All violations. */
    fun violations(): List<String> = counterViolations() + ownReadViolations() + ageViolations()

    // A lost, doubled or falsely refused add, and a stale strict read, all leave no linear order of the counter.
    private fun counterViolations(): List<String> =
        (0 until mix.counters)
            .map { "counter-$it" }
            .filterNot { isLinearizable(history.of(it, OperationKind.ADD, OperationKind.STRICT_GET)) }
            .map { "operations on $it are not linearizable: ${describe(it)}" }

    private fun describe(key: String): String =
        history
            .of(key, OperationKind.ADD, OperationKind.STRICT_GET)
            .sortedBy { it.invokedAt }
            .joinToString { "${it.kind}=${it.value} by ${it.client} at ${it.invokedAt}..${it.completedAt}" }

    private fun isLinearizable(operations: List<Operation>): Boolean {
        if (operations.isEmpty()) return true
        val threads = operations.groupBy { it.client }.toSortedMap().values.map { it.sortedBy(Operation::invokedAt) }
        val scenario =
            ExecutionScenario(emptyList(), threads.map { thread -> thread.map { actor(it.kind) } }, emptyList())
        val results =
            threads.mapIndexed { threadIndex, thread ->
                thread.mapIndexed { index, operation ->
                    val clock = clock(threads, threadIndex, index, operation)
                    ResultWithClock(ValueResult(operation.value ?: 0L), HBClock(clock))
                }
            }
        return LinearizabilityVerifier(Counter::class.java)
            .verifyResults(scenario, ExecutionResult(emptyList(), results, emptyList()))
    }

    private fun clock(threads: List<List<Operation>>, own: Int, index: Int, operation: Operation): IntArray =
        IntArray(threads.size) { other ->
            if (other == own) index else threads[other].count { it.completedAt < operation.invokedAt }
        }

    private fun actor(kind: OperationKind): Actor =
        Actor(if (kind == OperationKind.ADD) ADD else GET, emptyList(), emptyList(), false, false, false, false, false)

    // Only the client itself writes its own key, so its reads must return its latest write.
    private fun ownReadViolations(): List<String> =
        (0 until mix.clients).flatMap { client ->
            val operations =
                history
                    .of("own-$client", OperationKind.PUT, OperationKind.AGED_GET)
                    .filter { it.client == client }
                    .sortedBy { it.invokedAt }
            var written = 0L
            operations.mapNotNull { operation ->
                if (operation.kind == OperationKind.PUT) written = operation.argument
                val isStale = operation.kind == OperationKind.AGED_GET && (operation.value ?: 0) < written
                "client $client wrote $written and read ${operation.value} at ${operation.completedAt}"
                    .takeIf { isStale }
            }
        }

    // A read of stated age must return every write acknowledged before the time of the answer less that age.
    private fun ageViolations(): List<String> =
        history.operations.filter { it.kind == OperationKind.AGED_GET }.mapNotNull { read ->
            val age = if (read.caller == Deployment.RELAXED_CALLER) Deployment.STATED_AGE_MILLIS else 0
            val answeredAt = read.completedAt - Deployment.CLIENT_LATENCY_MICROS
            val limit = if (age == 0L) read.invokedAt else answeredAt - age * Schedule.MICROS_PER_MILLI
            val required =
                history
                    .of(read.key, OperationKind.PUT)
                    .filter { it.completedAt < limit }
                    .maxOfOrNull { it.argument }
                    ?: 0
            "client ${read.client} read ${read.key} as ${read.value} at $answeredAt, but $required is over $age ms old"
                .takeIf { (read.value ?: 0) < required }
        }

    private companion object {
        val ADD: Method = Counter::class.java.getMethod("add")
        val GET: Method = Counter::class.java.getMethod("get")
    }
}
