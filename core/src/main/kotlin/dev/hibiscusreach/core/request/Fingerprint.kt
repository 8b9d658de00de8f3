package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.Statement
import java.security.MessageDigest

/**
 * Digest of the content of a write, which distinguishes a repeated request from a reused identifier. The creation time
 * is left out, so that a caller that repeats a request with a new creation time still gets the recorded results. The
 * caller is included, so that no caller gets the recorded results of another one.
 */
internal object Fingerprint {
    /** Fingerprint of statements that run as one transaction. */
    fun ofStatements(caller: CallerName, statements: List<Statement>): String =
        digest(
            listOf("statements", caller.value) +
                statements.flatMap { listOf(it.text, it.parameters.size.toString()) + it.parameters },
        )

    /** Fingerprint of the commit of an interactive transaction. */
    fun ofCommit(caller: CallerName, transaction: String): String = digest(listOf("commit", caller.value, transaction))

    // Each field is prefixed with its length, so that different lists of fields never encode to the same bytes.
    private fun digest(fields: List<String>): String {
        val digest = MessageDigest.getInstance("SHA-256")
        fields.forEach { digest.update("${it.length}:$it".encodeToByteArray()) }
        return digest.digest().joinToString(separator = "") { "%02x".format(it) }
    }
}
