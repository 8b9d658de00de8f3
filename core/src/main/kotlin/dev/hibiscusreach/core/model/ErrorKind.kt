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

/** What a caller can do after a refusal. */
@Serializable
enum class RetryAdvice {
    /** The same request will be refused again. */
    @SerialName("never")
    NEVER,

    /** Send the same request with the same identifier again, through any proxy. */
    @SerialName("same request")
    SAME_REQUEST,

    /** As [SAME_REQUEST], after the stated pause. */
    @SerialName("after a pause")
    AFTER_A_PAUSE,
}

/** The closed list of errors, with the answer that each one leads to. */
@Serializable
enum class ErrorKind(
    /** Stable name in answers. */
    val label: String,
    /** Status code of the HTTP answer. */
    val httpStatus: Int,
    /** Whether the request took effect. */
    val outcome: Outcome,
    /** What the caller can do. */
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
