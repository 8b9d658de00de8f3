package dev.hibiscusreach.runtime.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import com.github.michaelbull.result.mapError
import dev.hibiscusreach.core.model.CallerAnswer.Refused
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.CallerRequest
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.RequestIdentifier
import dev.hibiscusreach.core.model.SessionToken
import dev.hibiscusreach.core.model.seconds
import java.util.UUID

/** A complete HTTP request of a caller, before validation. */
class ReceivedRequest(
    val method: String,
    val path: String,
    val body: String,
    /** All values of a header. */
    val header: (String) -> List<String>,
)

/** Validates the syntax of caller requests and verifies their tokens. The reducer makes all other checks. */
class RequestReader(private val signer: TokenSigner) {
    /** Parses [received]; the error is the refusal to send to the caller. */
    fun read(received: ReceivedRequest): Result<CallerRequest, Refused> =
        binding {
            val operation = OperationReader.read(received).bind()
            CallerRequest(
                identifier = identifier(received, operation.needsIdentifier).bind(),
                caller = caller(received).bind(),
                database = operation.database,
                session = session(received).bind(),
                deadline = deadline(operation.deadlineMillis).bind(),
                body = operation.body,
            )
        }

    /** The request's identifier for error responses; null if it is missing or not valid. */
    fun identifierOf(received: ReceivedRequest): String? =
        received.header(CallerHeaders.REQUEST_ID).singleOrNull()?.takeIf(NameSyntax::isValid)

    private fun identifier(received: ReceivedRequest, required: Boolean): Result<RequestIdentifier, Refused> {
        val values = received.header(CallerHeaders.REQUEST_ID)
        return when {
            values.isEmpty() && required -> malformed("the header ${CallerHeaders.REQUEST_ID} is required here")
            values.isEmpty() -> Ok(RequestIdentifier(UUID.randomUUID().toString()))
            else -> identifierOf(received)?.let { Ok(RequestIdentifier(it)) } ?: invalid(CallerHeaders.REQUEST_ID)
        }
    }

    private fun caller(received: ReceivedRequest): Result<CallerName, Refused> =
        received
            .header(CallerHeaders.CALLER)
            .singleOrNull()
            ?.takeIf(NameSyntax::isValid)
            ?.let { Ok(CallerName(it)) }
            ?: invalid(CallerHeaders.CALLER)

    private fun session(received: ReceivedRequest): Result<SessionToken, Refused> {
        val values = received.header(CallerHeaders.SESSION)
        return when (values.size) {
            0 -> Ok(SessionToken())
            1 -> signer.verify(values.single()).mapError { Refused(ErrorKind.INVALID_TOKEN, it.reason) }
            else -> Err(Refused(ErrorKind.INVALID_TOKEN, "there is more than one session token"))
        }
    }

    private fun deadline(millis: Long?): Result<Millis, Refused> =
        when {
            millis == null -> Ok(DEFAULT_DEADLINE)
            millis <= 0 -> malformed("deadlineMillis is not positive")
            else -> Ok(Millis(millis))
        }

    private fun invalid(header: String) = malformed("the header $header must be given once, with a valid name")

    private companion object {
        val DEFAULT_DEADLINE = 10.seconds
    }
}

/** The syntax of names and identifiers in requests. */
internal object NameSyntax {
    private const val MAXIMUM_LENGTH = 128
    private val pattern = Regex("[A-Za-z0-9._:-]{1,$MAXIMUM_LENGTH}")

    fun isValid(name: String): Boolean = pattern.matches(name)
}

/** Refuses a request with invalid syntax. */
internal fun malformed(message: String): Result<Nothing, Refused> = Err(Refused(ErrorKind.MALFORMED_REQUEST, message))
