package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.group.ServerView
import dev.hibiscusreach.core.model.BackendServer
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.ServerName

/** A server that can take a read. */
internal data class Candidate(val server: BackendServer, val view: ServerView, val primary: Boolean) {
    /** Name of the server. */
    val name: ServerName get() = server.name
}

/** Which server a read goes to. */
internal sealed interface ReadChoice {
    /** [candidate] is fresh enough. */
    data class Chosen(val candidate: Candidate) : ReadChoice

    /** No replica is known to be fresh enough. */
    data object NoFreshReplica : ReadChoice
}

private const val PERCENT = 100
private const val OWN_DOMAIN = 0
private const val OWN_REGION = 1
private const val OTHER_REGION = 2

/**
 * Chooses among the fresh replicas and the primary. The link between regions is slow and billed, so that a primary of
 * the own region comes before a replica of another one; within a region replicas come first.
 */
internal fun Turn.chooseForRead(request: PendingRequest, read: Work.Read, group: DatabaseGroup): ReadChoice {
    val candidates = candidates(request, group)
    val replicas = candidates.filter { !it.primary && isFresh(request, read, it) }
    val warm = replicas.filter { context.random.mod(PERCENT) < it.view.warmUpPercent }.ifEmpty { replicas }
    return if (warm.isEmpty()) {
        ReadChoice.NoFreshReplica
    } else {
        ReadChoice.Chosen((warm + candidates.filter { it.primary }).minWith(readOrder()))
    }
}

private fun Turn.candidates(request: PendingRequest, group: DatabaseGroup): List<Candidate> {
    val view = group(group.name)
    val primary = view.primary
    return view
        .servers(now)
        .filter { it.reachable && !it.leaving && it.name !in request.avoidedServers }
        .mapNotNull { server -> group.server(server.name)?.let { Candidate(it, server, server.name == primary) } }
}

private fun Turn.isFresh(request: PendingRequest, read: Work.Read, candidate: Candidate): Boolean {
    val applied = candidate.view.applied
    val age = group(request.database).ageOf(applied, now)
    return read.maximumAge.value > 0 && applied >= request.seenPosition && age != null && age <= read.maximumAge
}

private fun Turn.readOrder(): Comparator<Candidate> =
    compareBy<Candidate> { distance(it.server.failureDomain) == OTHER_REGION }
        .thenBy { it.primary }
        .thenBy { distance(it.server.failureDomain) }
        .thenByDescending { freeConnections(it) }
        .thenByDescending { it.view.applied }
        .thenBy { it.view.latency }
        .thenBy { it.name }

/** How far [domain] is: the own domain, the own region or another region. */
internal fun Turn.distance(domain: FailureDomainName): Int =
    when {
        domain == settings.failureDomain -> OWN_DOMAIN
        index.region(domain) == index.region(settings.failureDomain) -> OWN_REGION
        else -> OTHER_REGION
    }
