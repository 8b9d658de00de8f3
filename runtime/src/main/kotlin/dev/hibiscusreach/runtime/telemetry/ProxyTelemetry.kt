package dev.hibiscusreach.runtime.telemetry

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.runtime.adapter.Telemetry
import org.slf4j.LoggerFactory
import org.slf4j.event.Level

/** Log lines with fields through SLF4J, and counters. */
class ProxyTelemetry(private val metrics: Metrics) : Telemetry {
    private val logger = LoggerFactory.getLogger("dev.hibiscusreach.proxy")

    override fun log(effect: Effect.Log) {
        effect.fields.entries
            .fold(logger.atLevel(level(effect.level))) { line, (name, value) -> line.addKeyValue(name, value) }
            .log(effect.message)
    }

    override fun count(effect: Effect.Count) =
        metrics.count(effect.counter.metric, effect.counter.label, effect.label, effect.amount)

    private fun level(level: LogLevel): Level =
        when (level) {
            LogLevel.DEBUG -> Level.DEBUG
            LogLevel.INFO -> Level.INFO
            LogLevel.WARN -> Level.WARN
            LogLevel.ERROR -> Level.ERROR
        }
}
