package dev.hibiscusreach.runtime.loop

import org.slf4j.Logger

/** Confines defects of an event loop: one that an event triggers must not take the other callers' work down with it. */
class DefectGuard(private val log: Logger) {
    /** The result of [action] for [event]; null, with a log line, if it failed. */
    fun <E : Any, R : Any> handle(event: E, action: (E) -> R): R? =
        attempt("event could not be handled: {}", event, action)

    /** Carries [effect] out; a failure is logged and affects no other effect. */
    fun <E : Any> carryOut(effect: E, action: (E) -> Unit) {
        attempt("effect could not be carried out: {}", effect, action)
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
