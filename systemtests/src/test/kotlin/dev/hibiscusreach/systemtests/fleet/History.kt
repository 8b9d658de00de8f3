package dev.hibiscusreach.systemtests.fleet

import dev.hibiscusreach.core.model.CallerName

/** What one operation did, as its client saw it. Times are in microseconds. */
data class Operation(
    val client: Int,
    val caller: CallerName,
    val kind: OperationKind,
    val key: String,
    /** What an add or put wrote. */
    val argument: Long,
    val invokedAt: Long,
    val completedAt: Long,
    /** The value that was read or, for an add, the value after it. */
    val value: Long?,
)

/** Kinds of operations of the test clients. */
enum class OperationKind { ADD, PUT, STRICT_GET, AGED_GET }

/** The operations that ran, and counts of the others. */
class History {
    private val ran = mutableListOf<Operation>()
    private val refused = mutableMapOf<String, Int>()

    /** Operations that ran, in order of completion. */
    val operations: List<Operation> get() = ran

    /** Refusals by error kind. */
    val refusals: Map<String, Int> get() = refused

    /** Adds an operation that ran. */
    fun add(operation: Operation) {
        ran += operation
    }

    /** Counts a refusal. */
    fun refuse(label: String) {
        refused.merge(label, 1, Int::plus)
    }

    /** The operations of [kinds] on [key]. */
    fun of(key: String, vararg kinds: OperationKind): List<Operation> =
        ran.filter { it.key == key && it.kind in kinds }
}
