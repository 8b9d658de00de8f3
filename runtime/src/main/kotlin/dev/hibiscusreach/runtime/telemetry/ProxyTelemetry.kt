package dev.hibiscusreach.runtime.telemetry

import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.runtime.adapter.Telemetry
import org.slf4j.LoggerFactory

/** Writes log lines with fields to SLF4J and counters to [Metrics]. */
class ProxyTelemetry(private val metrics: Metrics) : Telemetry {
    private val logger = LoggerFactory.getLogger("dev.hibiscusreach.proxy")

    override fun log(effect: Effect.Log) = LogLines.write(logger, effect.level, effect.message, effect.fields)

    override fun count(effect: Effect.Count) =
        metrics.count(effect.counter.metric, effect.counter.label, effect.label, effect.amount)
}
