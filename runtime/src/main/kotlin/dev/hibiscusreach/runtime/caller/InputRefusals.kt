package dev.hibiscusreach.runtime.caller

import dev.hibiscusreach.core.model.CallerAnswer.Refused
import dev.hibiscusreach.core.model.ErrorKind
import io.netty.handler.codec.PrematureChannelClosureException
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException

/** Creates the refusals of input that is too large, incomplete or not valid HTTP. */
internal class InputRefusals(private val limits: CallerLimits) {
    fun tooLarge() =
        Refused(ErrorKind.REQUEST_TOO_LARGE, "the body is larger than ${limits.maximumBodyBytes} bytes")

    fun overloaded() = Refused(ErrorKind.OVERLOADED, "too many requests are in progress", RETRY_AFTER_MILLIS)

    fun incomplete() =
        Refused(ErrorKind.REQUEST_INCOMPLETE, "the request did not arrive whole within the time limit")

    fun decoding(failure: Throwable): Refused =
        when (failure) {
            is TooLongHttpHeaderException, is TooLongHttpLineException ->
                Refused(ErrorKind.REQUEST_TOO_LARGE, "the headers are larger than ${limits.maximumHeaderBytes} bytes")
            is PrematureChannelClosureException ->
                Refused(ErrorKind.REQUEST_INCOMPLETE, "the connection was closed within the request")
            else -> Refused(ErrorKind.MALFORMED_REQUEST, "the request is not valid HTTP/1.1")
        }

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
