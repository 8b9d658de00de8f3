package dev.hibiscusreach.standins.database

import dev.hibiscusreach.core.model.Statement
import dev.hibiscusreach.core.model.StatementResult

/** Result of running statements in a transaction. */
internal sealed interface RunResult {
    data class Completed(val results: List<StatementResult>) : RunResult

    data class Rejected(val message: String) : RunResult
}

/** The statement language of the stand-in: one operation, a key and at most one value, separated by spaces. */
internal object StatementLanguage {
    private val writingOperations = setOf("put", "add", "append", "delete")
    private val whitespace = Regex("\\s+")

    /** Runs [statements] in order until one is rejected. */
    fun run(statements: List<Statement>, transaction: Transaction, mayWrite: Boolean): RunResult =
        try {
            RunResult.Completed(statements.map { run(words(it), transaction, mayWrite) })
        } catch (rejection: StatementRejection) {
            RunResult.Rejected(rejection.message.orEmpty())
        }

    /** The time for which [statements] sleep. */
    fun sleepMillis(statements: List<Statement>): Long =
        statements.sumOf { statement ->
            val words = statement.text.trim().split(whitespace)
            val argument = if (words.getOrNull(1) == "?") statement.parameters.firstOrNull() else words.getOrNull(1)
            if (words.first() == "sleep") argument?.toLongOrNull()?.coerceAtLeast(0) ?: 0 else 0
        }

    private fun words(statement: Statement): List<String> {
        val parameters = ArrayDeque(statement.parameters)
        val words =
            statement.text.trim().split(whitespace).map { word ->
                if (word == "?") parameters.removeFirstOrNull() ?: reject("parameter missing") else word
            }
        if (parameters.isNotEmpty()) reject("more parameters than placeholders")
        return words
    }

    private fun run(words: List<String>, transaction: Transaction, mayWrite: Boolean): StatementResult {
        val operation = words.first()
        if (operation in writingOperations && !mayWrite) reject("$operation is not allowed in a read")
        return when (operation) {
            "get" -> get(transaction, words.argument(1))
            "put" -> put(transaction, words.argument(1), words.argument(2))
            "add" -> add(transaction, words.argument(1), words.number(2))
            "append" -> append(transaction, words.argument(1), words.argument(2))
            "delete" -> delete(transaction, words.argument(1))
            "check" -> check(transaction, words.argument(1), words.argument(2))
            "sleep" -> StatementResult().also { words.number(1) }
            else -> reject("unknown operation '$operation'")
        }
    }

    private fun get(transaction: Transaction, key: String): StatementResult =
        StatementResult(rows = listOfNotNull(transaction.read(key)).map { listOf(it) })

    private fun put(transaction: Transaction, key: String, value: String): StatementResult {
        transaction.write(key, value)
        return StatementResult(changedRows = 1)
    }

    private fun add(transaction: Transaction, key: String, amount: Long): StatementResult {
        val stored = transaction.read(key) ?: "0"
        val current = stored.toLongOrNull() ?: reject("$key is not a number")
        val sum = (current + amount).toString()
        transaction.write(key, sum)
        return StatementResult(rows = listOf(listOf(sum)), changedRows = 1)
    }

    private fun append(transaction: Transaction, key: String, value: String): StatementResult =
        put(transaction, key, transaction.read(key).orEmpty() + value)

    private fun delete(transaction: Transaction, key: String): StatementResult {
        val existed = transaction.read(key) != null
        transaction.write(key, null)
        return StatementResult(changedRows = if (existed) 1 else 0)
    }

    private fun check(transaction: Transaction, key: String, expected: String): StatementResult {
        val actual = transaction.read(key)
        return if (actual == expected) StatementResult() else reject("$key is ${actual ?: "missing"}, not $expected")
    }
}

private class StatementRejection(message: String) : Exception(message)

private fun reject(message: String): Nothing = throw StatementRejection(message)

private fun List<String>.argument(index: Int): String = getOrNull(index) ?: reject("argument missing in '${first()}'")

private fun List<String>.number(index: Int): Long {
    val argument = argument(index)
    return argument.toLongOrNull() ?: reject("'$argument' is not a number")
}
