package dev.hibiscusreach.runtime.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.CallerAnswer.Refused
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.RequestBody
import dev.hibiscusreach.core.model.RequestIdentifier
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The operation that a request's method, path and body specify. */
internal class Operation(
    val database: DatabaseName,
    val body: RequestBody,
    val deadlineMillis: Long?,
    /** Whether the caller must identify the request, because it runs at most once. */
    val needsIdentifier: Boolean = false,
)

/** Parses method, path and body of caller requests into an [Operation]. */
internal object OperationReader {
    // Rejects unknown fields: a misspelled "repeatable" or "maximumAgeMillis" must not be ignored silently.
    private val json = Json

    fun read(received: ReceivedRequest): Result<Operation, Refused> {
        val segments = received.path.substringBefore('?').removePrefix("/").split('/')
        val route = Route.of(received.method, segments)
        return when {
            route == null -> Err(Refused(ErrorKind.NO_SUCH_RESOURCE, "no such method and path"))
            !segments.drop(Route.DATABASE).all(NameSyntax::isValid) -> malformed("a name in the path is not valid")
            else -> read(route, DatabaseName(segments[Route.DATABASE]), segments.getOrElse(Route.NAME) { "" }, received)
        }
    }

    private fun read(
        route: Route,
        database: DatabaseName,
        name: String,
        received: ReceivedRequest,
    ): Result<Operation, Refused> =
        when (route) {
            Route.STATEMENTS ->
                parse(StatementsBody.serializer(), received.body).andThen { statements(database, it) }
            Route.BEGIN ->
                transaction(received).map { Operation(database, RequestBody.BeginTransaction, it.deadlineMillis) }
            Route.TRANSACTION_STATEMENTS ->
                parse(TransactionStatementsBody.serializer(), received.body).andThen { run(database, name, it) }
            Route.COMMIT -> transaction(received).andThen { commit(database, name, it) }
            Route.ROLLBACK ->
                transaction(received)
                    .map { Operation(database, RequestBody.RollbackTransaction(name), it.deadlineMillis) }
            Route.OUTCOME -> {
                val body = RequestBody.ResolveOutcome(RequestIdentifier(name))
                Ok(Operation(database, body, deadlineMillis = null))
            }
        }

    private fun statements(database: DatabaseName, body: StatementsBody): Result<Operation, Refused> {
        val atMostOnce = body.access == AccessField.WRITE && !body.repeatable
        return when {
            body.statements.isEmpty() -> malformed("statements is empty")
            body.maximumAgeMillis != null && body.maximumAgeMillis < 0 -> malformed("maximumAgeMillis is negative")
            atMostOnce && body.createdAtMillis == null ->
                malformed("createdAtMillis is required for a write that is not repeatable")
            else -> Ok(Operation(database, requestBody(body), body.deadlineMillis, needsIdentifier = atMostOnce))
        }
    }

    private fun requestBody(body: StatementsBody): RequestBody =
        RequestBody.Statements(
            statements = body.statements,
            access = if (body.access == AccessField.WRITE) Access.WRITE else Access.READ,
            repeatable = body.repeatable,
            createdAtMillis = body.createdAtMillis,
            maximumAgeMillis = body.maximumAgeMillis,
        )

    private fun run(
        database: DatabaseName,
        transaction: String,
        body: TransactionStatementsBody,
    ): Result<Operation, Refused> =
        if (body.statements.isEmpty()) {
            malformed("statements is empty")
        } else {
            val run = RequestBody.TransactionStatements(transaction, body.statements)
            Ok(Operation(database, run, body.deadlineMillis))
        }

    private fun commit(
        database: DatabaseName,
        transaction: String,
        body: TransactionBody,
    ): Result<Operation, Refused> =
        body.createdAtMillis
            ?.let { RequestBody.CommitTransaction(transaction, it) }
            ?.let { Ok(Operation(database, it, body.deadlineMillis, needsIdentifier = true)) }
            ?: malformed("createdAtMillis is required for a commit")

    private fun transaction(received: ReceivedRequest): Result<TransactionBody, Refused> =
        if (received.body.isBlank()) Ok(TransactionBody()) else parse(TransactionBody.serializer(), received.body)

    private fun <T> parse(serializer: KSerializer<T>, text: String): Result<T, Refused> =
        try {
            Ok(json.decodeFromString(serializer, text))
        } catch (failure: SerializationException) {
            // The first line describes the error; the following lines repeat the caller's input.
            malformed("the body cannot be read: ${failure.message?.lineSequence()?.first()}")
        }
}
