package dev.hibiscusreach.systemtests.fleet

import kotlin.random.Random

/** What the clients of a test do. */
data class WorkloadMix(
    val clients: Int = 6,
    val counters: Int = 4,
    val maximumPauseMillis: Long = 400,
    /** Parts of each kind of operation. */
    val parts: Map<OperationKind, Int> =
        mapOf(
            OperationKind.ADD to 3,
            OperationKind.PUT to 2,
            OperationKind.STRICT_GET to 2,
            OperationKind.AGED_GET to 5,
        ),
) {
    /** The next kind of operation. */
    fun choose(random: Random): OperationKind {
        var rest = random.nextInt(parts.values.sum())
        return parts.entries
            .first { (_, part) ->
                rest -= part
                rest < 0
            }.key
    }
}
