package dev.hibiscusreach.runtime.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import dev.hibiscusreach.core.model.SessionToken
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.security.MessageDigest
import java.util.Base64
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Why a session token was rejected: it is not signed with the key or cannot be parsed. */
data class InvalidToken(val reason: String)

/** Signs and verifies session tokens in the format `base64url(JSON).base64url(HMAC-SHA256)`. */
class TokenSigner(key: ByteArray) {
    private val key = SecretKeySpec(key, ALGORITHM)
    private val encoder = Base64.getUrlEncoder().withoutPadding()
    private val decoder = Base64.getUrlDecoder()

    /** Serializes and signs [token]. */
    fun sign(token: SessionToken): String {
        val payload = encoder.encodeToString(Json.encodeToString(SessionToken.serializer(), token).encodeToByteArray())
        return payload + SEPARATOR + encoder.encodeToString(signature(payload))
    }

    /** Parses [text] if its signature is valid for the key. */
    fun verify(text: String): Result<SessionToken, InvalidToken> {
        val payload = text.substringBeforeLast(SEPARATOR, missingDelimiterValue = "")
        val signature = decode(text.substringAfterLast(SEPARATOR))
        val authentic = signature != null && MessageDigest.isEqual(signature, signature(payload))
        return if (authentic) parse(payload) else Err(InvalidToken("the session token is not authentic"))
    }

    private fun parse(payload: String): Result<SessionToken, InvalidToken> =
        try {
            val json = decode(payload)?.decodeToString().orEmpty()
            Ok(Json.decodeFromString(SessionToken.serializer(), json))
        } catch (failure: SerializationException) {
            Err(InvalidToken("the session token cannot be read: ${failure.message?.lineSequence()?.first()}"))
        }

    @Suppress("SwallowedException") // Text that is not Base64 is expected input; the exception adds no information.
    private fun decode(text: String): ByteArray? =
        try {
            decoder.decode(text)
        } catch (failure: IllegalArgumentException) {
            null
        }

    private fun signature(payload: String): ByteArray =
        Mac.getInstance(ALGORITHM).apply { init(key) }.doFinal(payload.encodeToByteArray())

    private companion object {
        const val ALGORITHM = "HmacSHA256"
        const val SEPARATOR = "."
    }
}
