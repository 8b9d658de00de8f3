package dev.hibiscusreach.standins.driver

import org.HdrHistogram.Histogram

/** The figures of a run as lines of text. */
internal class DriveReport(private val result: DriveResult) {
    private val records = result.records

    /** One line for each figure. */
    fun lines(): List<String> =
        listOf(counts(OperationKind.READ), counts(OperationKind.WRITE)) +
            listOfNotNull(latency(OperationKind.READ), latency(OperationKind.WRITE)) +
            listOfNotNull(servers(), failoverGapMillis()?.let { "failover gap: $it ms" }) +
            check()

    /** The longest time without an acknowledged write between the first and the last one; null without two. */
    fun failoverGapMillis(): Long? =
        completed(OperationKind.WRITE)
            .map { it.completedNanos }
            .zipWithNext { earlier, later -> later - earlier }
            .maxOrNull()
            ?.let { it / NANOS_PER_MILLI }

    /** The number of attempts that got no complete answer. */
    val broken: Int get() = records.count { it.outcome == "broken" }

    private fun completed(kind: OperationKind) = records.filter { it.kind == kind && it.outcome == "ok" }

    private fun counts(kind: OperationKind): String {
        val outcomes = records.filter { it.kind == kind }.groupingBy { it.outcome }.eachCount().toSortedMap()
        return "${kind.label}: " + outcomes.entries.joinToString { "${it.key} ${it.value}" }.ifEmpty { "none" }
    }

    private fun latency(kind: OperationKind): String? {
        val histogram = Histogram(SIGNIFICANT_DIGITS)
        completed(kind).forEach { histogram.recordValue((it.completedNanos - it.dueNanos).coerceAtLeast(0)) }
        if (histogram.totalCount == 0L) return null
        val figures =
            listOf("p50" to MEDIAN, "p99" to NINETY_NINTH, "max" to MAXIMUM).joinToString { (name, percentile) ->
                "%s %.1f ms".format(name, histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI.toDouble())
            }
        return "${kind.label} latency: $figures"
    }

    private fun servers(): String? {
        val servers = completed(OperationKind.READ).mapNotNull { it.server }.groupingBy { it }.eachCount().toSortedMap()
        if (servers.isEmpty()) return null
        return "reads by server: " + servers.entries.joinToString { "${it.key} ${it.value}" }
    }

    private fun check(): List<String> {
        val counted = result.counted?.toString() ?: "unreadable"
        val summary =
            "sign-offs: acknowledged ${result.acknowledged}, counted $counted, unresolved ${result.unresolved}, " +
                "violations ${result.violations.size}, broken attempts $broken"
        return listOf(summary) + result.violations.take(MAXIMUM_VIOLATIONS)
    }

    private val OperationKind.label: String get() = if (this == OperationKind.READ) "reads" else "writes"

    private companion object {
        const val SIGNIFICANT_DIGITS = 3
        const val MEDIAN = 50.0
        const val NINETY_NINTH = 99.0
        const val MAXIMUM = 100.0
        const val NANOS_PER_MILLI = 1_000_000L
        const val MAXIMUM_VIOLATIONS = 20
    }
}
