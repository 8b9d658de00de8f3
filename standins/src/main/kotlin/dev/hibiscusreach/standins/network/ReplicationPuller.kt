package dev.hibiscusreach.standins.network

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.standins.database.ReplicationAnswer
import dev.hibiscusreach.standins.database.ReplicationRequest
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** Asks the primary that a server follows for entries, one request at a time. */
internal class ReplicationPuller(
    private val server: DatabaseServerLoop,
    private val peers: Map<ServerName, Endpoint>,
    private val faults: TrafficFaults,
    private val timing: ServerTiming,
    private val client: HttpClient,
) {
    /** Age at which entries are applied. */
    var delayMillis: Long = timing.replicationDelayMillis

    private var inFlight: ReplicationRequest? = null

    /** Starts asking; to be called once, on the server's loop. */
    fun start() {
        pull()
        server.after(maxOf(1, timing.replicationIntervalMillis), ::start)
    }

    // A request of an older term is not waited for, because its primary may be unreachable.
    private fun pull() {
        val request = server.model.replicationRequest()?.takeUnless { faults.isolated || it.term == inFlight?.term }
        val peer = request?.let { peers[it.primary] } ?: return
        inFlight = request
        client.sendAsync(httpRequest(peer, request), HttpResponse.BodyHandlers.ofString()).whenComplete { response, _ ->
            server.execute { complete(request, response) }
        }
    }

    private fun complete(request: ReplicationRequest, response: HttpResponse<String>?) {
        if (inFlight !== request) return
        inFlight = null
        if (accept(response)) pull()
    }

    /** Applies the entries that are old enough; returns whether more of them may be waiting. */
    private fun accept(response: HttpResponse<String>?): Boolean {
        if (response?.statusCode() != OK || faults.isolated) return false
        val answer = WireJson.decodeFromString(ReplicationAnswer.serializer(), response.body())
        val newestAllowed = server.now - delayMillis
        val due = answer.entries.takeWhile { it.writtenAtMillis <= newestAllowed }
        server.replicate(answer.copy(entries = due))
        return due.size >= MORE_EXPECTED_FROM
    }

    private fun httpRequest(peer: Endpoint, request: ReplicationRequest): HttpRequest =
        HttpRequest
            .newBuilder(URI("http://$peer/replication"))
            .timeout(Duration.ofSeconds(1))
            .POST(
                HttpRequest.BodyPublishers.ofString(
                    WireJson.encodeToString(ReplicationRequest.serializer(), request)
                )
            )
            .build()

    private companion object {
        const val OK = 200

        /** Answers of this size are taken for full batches, so that a replica that is far behind catches up quickly. */
        const val MORE_EXPECTED_FROM = 100
    }
}
