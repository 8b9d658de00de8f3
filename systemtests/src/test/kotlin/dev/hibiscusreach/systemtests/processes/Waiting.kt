package dev.hibiscusreach.systemtests.processes

import java.io.IOException
import java.util.concurrent.TimeUnit

private const val POLL_MILLIS = 25L

/** Polls until [value] is not null and returns it; fails after [seconds]. An exchange that fails counts as no value. */
internal fun <T : Any> awaitValue(what: String, seconds: Int = 20, value: () -> T?): T {
    val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds.toLong())
    var failure: IOException? = null
    while (System.nanoTime() < end) {
        try {
            value()?.let { return it }
        } catch (expected: IOException) {
            failure = expected
        }
        Thread.sleep(POLL_MILLIS)
    }
    throw AssertionError("not within $seconds s: $what", failure)
}

/** Polls until [condition] holds; fails after [seconds]. */
internal fun awaitTrue(what: String, seconds: Int = 20, condition: () -> Boolean) {
    awaitValue(what, seconds) { if (condition()) true else null }
}

/** Milliseconds since [startNanos] of the monotonic clock. */
internal fun millisSince(startNanos: Long): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)
