package dev.hibiscusreach.standins.driver

import dev.hibiscusreach.core.model.Endpoint
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import kotlin.concurrent.thread
import kotlin.random.Random

/** Chooses among the proxies that say that they are ready, as the users' load balancer does. */
internal class ProxyChoice(private val proxies: List<ProxyTarget>) : AutoCloseable {
    private val client = HttpClient.newHttpClient()

    @Volatile
    private var ready = proxies

    @Volatile
    private var closed = false

    init {
        refresh()
        thread(isDaemon = true, name = "readiness") {
            while (!closed) {
                Thread.sleep(PERIOD_MILLIS)
                refresh()
            }
        }
    }

    /** A ready proxy: [current] unless [move] is set or it is not ready any more. */
    fun choose(current: Endpoint?, move: Boolean, random: Random): Endpoint {
        val candidates = ready.ifEmpty { proxies }.map { it.callers }
        val others = candidates - setOfNotNull(current)
        return if (current in candidates && (!move || others.isEmpty())) {
            current ?: candidates.random(random)
        } else {
            others.random(random)
        }
    }

    override fun close() {
        closed = true
    }

    private fun refresh() {
        ready = proxies.filter { it.operations == null || isReady(it.operations) }
    }

    private fun isReady(operations: Endpoint): Boolean =
        try {
            val request = HttpRequest.newBuilder(URI("http://$operations/ready")).timeout(Duration.ofSeconds(1)).build()
            client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == OK
        } catch (_: IOException) {
            false
        }

    private companion object {
        const val OK = 200

        /** Well below the second for which a draining proxy still serves what arrives. */
        const val PERIOD_MILLIS = 200L
    }
}
