package dev.hibiscusreach.runtime.loop

import org.slf4j.Logger

/** Isolates failures in an event loop: an exception for one event or effect must not fail the work of other callers. */
class FailureIsolator(private val log: Logger) {
    /** The result of [action] for [event]; null, with a log line, if it failed. */
    fun <E : Any, R : Any> handle(event: E, action: (E) -> R): R? =
        attempt("handling an event failed: {}", event, action)

    /** Executes [effect]; a failure is logged and affects no other effect. */
    fun <E : Any> carryOut(effect: E, action: (E) -> Unit) {
        attempt("executing an effect failed: {}", effect, action)
    }

    @Suppress("TooGenericExceptionCaught")
    private fun <S : Any, R : Any> attempt(message: String, subject: S, action: (S) -> R): R? =
        try {
            action(subject)
        } catch (failure: RuntimeException) {
            log.error(message, subject, failure)
            null
        }
}
