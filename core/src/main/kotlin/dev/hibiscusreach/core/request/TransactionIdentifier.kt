package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.NodeIdentity
import java.util.Base64

/**
 * Identifier of an interactive transaction. It contains the node that holds the transaction, so that any proxy can
 * forward requests to that node. Its text form is safe in the path of a URL.
 */
internal data class TransactionIdentifier(
    val owner: NodeIdentity,
    /** Unique on [owner] and increasing. */
    val number: Long,
    /** Random, so that a caller cannot guess the identifiers of other callers' transactions. */
    val random: Long,
) {
    override fun toString(): String {
        val endpoint = owner.peerEndpoint
        val fields = listOf(endpoint.address, endpoint.port, owner.startedAtMillis, owner.nonce, number, random)
        return encoder.encodeToString(fields.joinToString(SEPARATOR).encodeToByteArray())
    }

    companion object {
        private const val SEPARATOR = "|"
        private const val FIELDS = 6
        private val encoder = Base64.getUrlEncoder().withoutPadding()

        /** Parses the text form of an identifier; returns null if [text] is malformed. */
        fun parse(text: String): TransactionIdentifier? =
            try {
                parse(Base64.getUrlDecoder().decode(text).decodeToString().split(SEPARATOR))
            } catch (_: IllegalArgumentException) {
                null
            }

        private fun parse(fields: List<String>): TransactionIdentifier? {
            val rest = fields.drop(1).iterator()
            return if (fields.size == FIELDS) {
                TransactionIdentifier(
                    owner = owner(fields.first(), rest),
                    number = rest.next().toLong(),
                    random = rest.next().toLong(),
                )
            } else {
                null
            }
        }

        private fun owner(address: String, rest: Iterator<String>) =
            NodeIdentity(
                peerEndpoint = Endpoint(address, rest.next().toInt()),
                startedAtMillis = rest.next().toLong(),
                nonce = rest.next().toInt(),
            )
    }
}
