package dev.hibiscusreach.standins.driver

import dev.hibiscusreach.core.event.CounterName
import dev.hibiscusreach.core.model.Endpoint
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** Reads by the role of the server that served them, as the proxies' metrics count them. */
internal data class ReadsByRole(val counts: Map<String, Double>) {
    /** Share of the reads served by replicas since [earlier], in percent; null without reads. */
    fun replicaPercentSince(earlier: ReadsByRole): Double? {
        val differences = counts.mapValues { (role, count) -> count - (earlier.counts[role] ?: 0.0) }
        val total = differences.values.sum()
        return if (total <= 0) null else PERCENT * (differences["replica"] ?: 0.0) / total
    }

    companion object {
        private const val PERCENT = 100
        private val metric = CounterName.READS_BY_ROLE.metric.replace('.', '_') + "_total"
        private val line = Regex("$metric\\{[^}]*role=\"(\\w+)\"[^}]*} (\\S+)")
        private val client: HttpClient = HttpClient.newHttpClient()

        /** The counts of the proxy whose operations port is [operations]. */
        fun fetch(operations: Endpoint): ReadsByRole {
            val request =
                HttpRequest.newBuilder(URI("http://$operations/metrics")).timeout(Duration.ofSeconds(2)).build()
            return parse(client.send(request, HttpResponse.BodyHandlers.ofString()).body())
        }

        /** The sum of [all] counts by role. */
        fun sum(all: List<ReadsByRole>): ReadsByRole = all.fold(ReadsByRole(emptyMap()), ReadsByRole::plus)

        /** The counts in a Prometheus page. */
        fun parse(page: String): ReadsByRole =
            sum(
                line
                    .findAll(page)
                    .map { ReadsByRole(mapOf(it.groupValues[1].lowercase() to it.groupValues[2].toDouble())) }
                    .toList()
            )
    }

    private operator fun plus(other: ReadsByRole): ReadsByRole =
        ReadsByRole((counts.keys + other.counts.keys).associateWith { (counts[it] ?: 0.0) + (other.counts[it] ?: 0.0) })
}
