package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.Statement
import java.security.MessageDigest

/**
 * Digest of what a write does, to tell a repeated request from a reused identifier. The creation time is left out, so
 * that a caller which stamps a repetition anew still gets the recorded results. The caller is included, so that no
 * caller gets the recorded results of another one.
 */
internal object Fingerprint {
    /** The fingerprint of statements that run as one transaction. */
    fun ofStatements(caller: CallerName, statements: List<Statement>): String =
        digest(
            listOf("statements", caller.value) +
                statements.flatMap { listOf(it.text, it.parameters.size.toString()) + it.parameters },
        )

    /** The fingerprint of the commit of an interactive transaction. */
    fun ofCommit(caller: CallerName, transaction: String): String = digest(listOf("commit", caller.value, transaction))

    // The length before each field keeps different lists of fields from having the same digest.
    private fun digest(fields: List<String>): String {
        val digest = MessageDigest.getInstance("SHA-256")
        fields.forEach { digest.update("${it.length}:$it".encodeToByteArray()) }
        return digest.digest().joinToString(separator = "") { "%02x".format(it) }
    }
}
