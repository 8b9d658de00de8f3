package dev.hibiscusreach.runtime.telemetry

import dev.hibiscusreach.core.event.LogLevel
import org.slf4j.Logger
import org.slf4j.event.Level

/** Writes log lines that a reducer requested as effects. */
object LogLines {
    /** Writes [message] with [fields] in their order. */
    fun write(logger: Logger, level: LogLevel, message: String, fields: Map<String, String>) =
        fields.entries
            .fold(logger.atLevel(level(level))) { line, (name, value) -> line.addKeyValue(name, value) }
            .log(message)

    private fun level(level: LogLevel): Level =
        when (level) {
            LogLevel.DEBUG -> Level.DEBUG
            LogLevel.INFO -> Level.INFO
            LogLevel.WARN -> Level.WARN
            LogLevel.ERROR -> Level.ERROR
        }
}
