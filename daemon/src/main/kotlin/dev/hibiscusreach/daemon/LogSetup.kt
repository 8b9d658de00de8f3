package dev.hibiscusreach.daemon

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import dev.hibiscusreach.runtime.settings.LogFormat
import dev.hibiscusreach.runtime.settings.LogSettings
import dev.hibiscusreach.runtime.settings.LogThreshold
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Sets the log up in code, which starts faster than reading a file. */
object LogSetup {
    private const val PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level [%thread] %logger{0} - %msg %kvp%n"

    /** Only warnings, on the standard error stream, so that the output of commands stays clean. */
    fun forCommands() = configure(LogSettings(threshold = LogThreshold.WARN), target = "System.err")

    /** The log of a running proxy, on the standard output stream. Never blocks: see [DroppingAppender]. */
    fun forProxy(settings: LogSettings): DroppingAppender {
        val appender = DroppingAppender()
        configure(settings, target = "System.out", appender)
        return appender
    }

    private fun configure(settings: LogSettings, target: String, queue: DroppingAppender? = null) {
        val context = LoggerFactory.getILoggerFactory() as LoggerContext
        context.reset()
        val appender = ConsoleAppender<ILoggingEvent>()
        appender.context = context
        appender.target = target
        appender.encoder = encoder(settings.format, context)
        appender.start()
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.toLevel(settings.threshold.name)
        if (queue == null) {
            root.addAppender(appender)
        } else {
            queue.context = context
            queue.addAppender(appender)
            queue.start()
            root.addAppender(queue)
        }
    }

    private fun encoder(format: LogFormat, context: LoggerContext): Encoder<ILoggingEvent> =
        when (format) {
            LogFormat.JSON -> jsonEncoder()
            LogFormat.TEXT -> PatternLayoutEncoder().apply { pattern = PATTERN }
        }.apply {
            this.context = context
            start()
        }

    private fun jsonEncoder() =
        JsonEncoder().apply {
            setWithContext(false)
            setWithSequenceNumber(false)
            setWithNanoseconds(false)
            setWithMessage(false)
            setWithFormattedMessage(true)
        }
}
