package dev.hibiscusreach.core.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a request took effect. */
@Serializable
enum class Outcome {
    @SerialName("not run")
    NOT_RUN,

    @SerialName("ran")
    RAN,

    @SerialName("unknown")
    UNKNOWN,
}

/** Whether and how a caller may retry a refused request. */
@Serializable
enum class RetryAdvice {
    /** A retry fails in the same way. */
    @SerialName("never")
    NEVER,

    /** Retry with the same request identifier, through any proxy. */
    @SerialName("same request")
    SAME_REQUEST,

    /** Like [SAME_REQUEST], after the delay given in the response. */
    @SerialName("after a pause")
    AFTER_A_PAUSE,
}

/** All errors that a caller can receive, with their HTTP status, outcome and retry advice. */
@Serializable
enum class ErrorKind(
    /** Name of the error in responses; part of the public interface. */
    val label: String,
    /** Status code of the HTTP response. */
    val httpStatus: Int,
    /** Whether the request took effect. */
    val outcome: Outcome,
    /** Whether the caller may retry. */
    val advice: RetryAdvice,
) {
    MALFORMED_REQUEST("malformed-request", httpStatus = 400, Outcome.NOT_RUN, RetryAdvice.NEVER),
    REQUEST_TOO_LARGE("request-too-large", httpStatus = 413, Outcome.NOT_RUN, RetryAdvice.NEVER),
    REQUEST_INCOMPLETE("request-incomplete", httpStatus = 408, Outcome.NOT_RUN, RetryAdvice.SAME_REQUEST),
    NO_SUCH_RESOURCE("no-such-resource", httpStatus = 404, Outcome.NOT_RUN, RetryAdvice.NEVER),
    UNKNOWN_CALLER("unknown-caller", httpStatus = 403, Outcome.NOT_RUN, RetryAdvice.NEVER),
    UNKNOWN_DATABASE("unknown-database", httpStatus = 404, Outcome.NOT_RUN, RetryAdvice.NEVER),
    INVALID_TOKEN("invalid-token", httpStatus = 400, Outcome.NOT_RUN, RetryAdvice.NEVER),
    FOREIGN_TOKEN("foreign-token", httpStatus = 400, Outcome.NOT_RUN, RetryAdvice.NEVER),
    FUTURE_TOKEN("future-token", httpStatus = 409, Outcome.NOT_RUN, RetryAdvice.NEVER),
    REQUEST_TOO_OLD("request-too-old", httpStatus = 410, Outcome.NOT_RUN, RetryAdvice.NEVER),
    REQUEST_IDENTIFIER_REUSED("request-id-reused", httpStatus = 409, Outcome.NOT_RUN, RetryAdvice.NEVER),
    REQUEST_CANCELLED("request-cancelled", httpStatus = 409, Outcome.NOT_RUN, RetryAdvice.NEVER),
    TRANSACTION_UNKNOWN("transaction-unknown", httpStatus = 404, Outcome.NOT_RUN, RetryAdvice.NEVER),
    TRANSACTION_ENDED("transaction-ended", httpStatus = 409, Outcome.NOT_RUN, RetryAdvice.NEVER),
    STATEMENT_REJECTED("statement-rejected", httpStatus = 422, Outcome.NOT_RUN, RetryAdvice.NEVER),
    CONFLICT("conflict", httpStatus = 409, Outcome.NOT_RUN, RetryAdvice.SAME_REQUEST),
    CALLER_LIMIT_REACHED("caller-limit-reached", httpStatus = 429, Outcome.NOT_RUN, RetryAdvice.AFTER_A_PAUSE),
    OVERLOADED("overloaded", httpStatus = 503, Outcome.NOT_RUN, RetryAdvice.AFTER_A_PAUSE),
    READ_TOO_OLD("read-too-old", httpStatus = 503, Outcome.NOT_RUN, RetryAdvice.AFTER_A_PAUSE),
    NO_PRIMARY("no-primary", httpStatus = 503, Outcome.NOT_RUN, RetryAdvice.AFTER_A_PAUSE),
    SERVER_UNREACHABLE("server-unreachable", httpStatus = 503, Outcome.NOT_RUN, RetryAdvice.AFTER_A_PAUSE),
    DRAINING("draining", httpStatus = 503, Outcome.NOT_RUN, RetryAdvice.SAME_REQUEST),
    NO_CONFIGURATION("no-configuration", httpStatus = 503, Outcome.NOT_RUN, RetryAdvice.AFTER_A_PAUSE),
    DEADLINE_EXCEEDED("deadline-exceeded", httpStatus = 504, Outcome.NOT_RUN, RetryAdvice.SAME_REQUEST),
    OUTCOME_UNKNOWN("outcome-unknown", httpStatus = 504, Outcome.UNKNOWN, RetryAdvice.SAME_REQUEST),
    INTERNAL_ERROR("internal-error", httpStatus = 500, Outcome.UNKNOWN, RetryAdvice.SAME_REQUEST),
    ;

    companion object {
        /** The kind with [label], or null if there is none. */
        fun ofLabel(label: String): ErrorKind? = entries.find { it.label == label }
    }
}
