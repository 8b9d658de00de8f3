package dev.hibiscusreach.daemon

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.spi.ILoggingEvent
import java.util.concurrent.atomic.AtomicLong

/**
 * Writes log lines on a thread of its own. A line that finds the queue full is dropped and counted, so that a slow
 * reader of the output never holds the proxy up.
 */
class DroppingAppender : AsyncAppender() {
    private val dropped = AtomicLong()

    init {
        queueSize = QUEUE_LINES
        discardingThreshold = 0
        isNeverBlock = true
        isIncludeCallerData = false
    }

    /** The number of lines that were dropped since the start. */
    val droppedLines: Long get() = dropped.get()

    override fun append(event: ILoggingEvent) {
        if (remainingCapacity == 0) dropped.incrementAndGet() else super.append(event)
    }

    private companion object {
        /** About a second of lines under the heaviest load, at half a kilobyte each. */
        const val QUEUE_LINES = 2_048
    }
}
