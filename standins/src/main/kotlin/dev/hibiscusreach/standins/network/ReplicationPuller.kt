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

    /** Starts asking; to be called once, on the server's loop. */
    fun start() = pull()

    private fun pull() {
        val request = server.model.replicationRequest()?.takeUnless { faults.isolated }
        val peer = request?.let { peers[it.primary] }
        if (request == null || peer == null) return again(timing.replicationIntervalMillis)
        client.sendAsync(httpRequest(peer, request), HttpResponse.BodyHandlers.ofString()).whenComplete { response, _ ->
            server.execute { again(if (accept(response)) 0 else timing.replicationIntervalMillis) }
        }
    }

    private fun again(delayMillis: Long) = server.after(maxOf(1, delayMillis), ::pull)

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
