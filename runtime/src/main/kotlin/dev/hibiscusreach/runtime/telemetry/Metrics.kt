package dev.hibiscusreach.runtime.telemetry

import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.model.CallerAnswer
import dev.hibiscusreach.runtime.caller.RequestObserver
import dev.hibiscusreach.runtime.loop.LoopListener
import dev.hibiscusreach.runtime.peer.PeerTraffic
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** The metrics of the process, recorded with Micrometer and exported in the Prometheus format. */
class Metrics :
    RequestObserver,
    PeerTraffic,
    LoopListener {
    private data class CounterKey(val name: String, val label: String, val value: String)

    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val counters = ConcurrentHashMap<CounterKey, Counter>()
    private val latencies = ConcurrentHashMap<CounterKey, Timer>()
    private val eventTimer = Timer.builder("hibiscusreach.loop.event").register(registry)

    /** Adds [amount] to a counter with one label. */
    fun count(name: String, label: String, value: String, amount: Long) {
        counters
            .computeIfAbsent(CounterKey(name, label, value)) {
                Counter.builder(name).tag(label, value).register(registry)
            }.increment(amount.toDouble())
    }

    /** Registers the gauge [name], which reports the value of [read]. */
    fun gauge(name: String, read: () -> Number) {
        Gauge.builder(name) { read() }.register(registry)
    }

    /** All metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    override fun answered(answer: CallerAnswer, nanos: Long) {
        val result = if (answer is CallerAnswer.Refused) answer.kind.label else "completed"
        observe("hibiscusreach.request.latency", result, nanos)
    }

    /** Records a duration in the latency histogram [name] under the label `result`. */
    fun observe(name: String, result: String, nanos: Long) {
        latencies
            .computeIfAbsent(CounterKey(name, "result", result)) {
                Timer
                    .builder(name)
                    .tag(it.label, it.value)
                    .publishPercentileHistogram()
                    .register(registry)
            }.record(nanos, TimeUnit.NANOSECONDS)
    }

    override fun sent(domain: String, bytes: Int) =
        count("hibiscusreach.peer.bytes.sent", "domain", domain, bytes.toLong())

    override fun received(domain: String, bytes: Int) =
        count("hibiscusreach.peer.bytes.received", "domain", domain, bytes.toLong())

    override fun reduced(event: Event, nanos: Long) = eventTimer.record(nanos, TimeUnit.NANOSECONDS)
}
