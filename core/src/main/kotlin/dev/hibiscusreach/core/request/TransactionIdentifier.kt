package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.NodeIdentity
import java.util.Base64

/**
 * The identifier of an interactive transaction names the node that holds it, so that any proxy can forward to that
 * node. As text it may stand in the path of a URL.
 */
internal data class TransactionIdentifier(
    val owner: NodeIdentity,
    /** Unique for the owner and rising. */
    val number: Long,
    /** Keeps callers from guessing the identifiers of others. */
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

        /** Reads the text of an identifier; null if it is none. */
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
