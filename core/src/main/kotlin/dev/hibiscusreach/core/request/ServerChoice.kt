package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.group.ServerView
import dev.hibiscusreach.core.model.BackendServer
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.ServerName

/** A server that a read can be sent to. */
internal data class Candidate(val server: BackendServer, val view: ServerView, val primary: Boolean) {
    val name: ServerName get() = server.name
}

/** The choice of a server for a read. */
internal sealed interface ReadChoice {
    /** The read goes to [candidate], which is fresh enough. */
    data class Chosen(val candidate: Candidate) : ReadChoice

    /** Replicas are available, but none is known to be fresh enough. */
    data object NoFreshReplica : ReadChoice

    /** No replica is available, or the read asks for the newest data. */
    data object PrimaryOnly : ReadChoice
}

private const val PERCENT = 100
private const val SAME_DOMAIN = 0
private const val SAME_REGION = 1
private const val OTHER_REGION = 2

/**
 * Chooses among the fresh replicas and the primary. The link between regions is slow and billed, so that a primary in
 * this region is preferred to a replica in another one. Within a region, replicas are preferred.
 */
internal fun StepBuilder.chooseReadServer(
    request: PendingRequest,
    read: Operation.Read,
    group: DatabaseGroup,
): ReadChoice {
    val candidates = candidates(request, group)
    val replicas = candidates.filter { !it.primary && isFresh(request, read, it) }
    val warm = replicas.filter { context.random.mod(PERCENT) < it.view.warmUpPercent }.ifEmpty { replicas }
    return when {
        warm.isNotEmpty() -> ReadChoice.Chosen((warm + candidates.filter { it.primary }).minWith(readOrder()))
        read.maximumAge.value == 0L || candidates.all { it.primary } -> ReadChoice.PrimaryOnly
        else -> ReadChoice.NoFreshReplica
    }
}

private fun StepBuilder.candidates(request: PendingRequest, group: DatabaseGroup): List<Candidate> {
    val view = group(group.name)
    val primary = view.primary
    return view
        .servers(now)
        .filter { it.reachable && !it.leaving && it.name !in request.avoidedServers }
        .mapNotNull { server -> group.server(server.name)?.let { Candidate(it, server, server.name == primary) } }
}

private fun StepBuilder.isFresh(request: PendingRequest, read: Operation.Read, candidate: Candidate): Boolean {
    val applied = candidate.view.applied
    val age = group(request.database).ageOf(applied, now)
    return read.maximumAge.value > 0 && applied >= request.seenPosition && age != null && age <= read.maximumAge
}

private fun StepBuilder.readOrder(): Comparator<Candidate> =
    compareBy<Candidate> { distance(it.server.failureDomain) == OTHER_REGION }
        .thenBy { it.primary }
        .thenBy { distance(it.server.failureDomain) }
        .thenByDescending { freeConnections(it) }
        .thenByDescending { it.view.applied }
        .thenBy { it.view.latency }
        .thenBy { it.name }

/** Distance to [domain]: 0 for this failure domain, 1 for this region, 2 for another region. */
internal fun StepBuilder.distance(domain: FailureDomainName): Int =
    when {
        domain == settings.failureDomain -> SAME_DOMAIN
        configurationIndex.region(domain) == configurationIndex.region(settings.failureDomain) -> SAME_REGION
        else -> OTHER_REGION
    }
