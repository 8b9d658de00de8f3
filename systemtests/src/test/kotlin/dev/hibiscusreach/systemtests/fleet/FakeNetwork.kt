package dev.hibiscusreach.systemtests.fleet

import dev.hibiscusreach.core.model.FailureDomainName

/** Latencies between failure domains, and the cuts between them. */
class FakeNetwork(private val deployment: Deployment, private val schedule: Schedule) {
    private val cuts = mutableSetOf<Pair<FailureDomainName, FailureDomainName>>()

    /** Cuts traffic [from] one domain [to] another, in this direction only. */
    fun cut(from: FailureDomainName, to: FailureDomainName) {
        cuts += from to to
    }

    /** Cuts [domain] off from all others, in both directions. */
    fun isolate(domain: FailureDomainName) =
        (deployment.domains.map { it.name } + deployment.storeDomain).filter { it != domain }.forEach {
            cut(domain, it)
            cut(it, domain)
        }

    /** Ends all cuts. */
    fun heal() = cuts.clear()

    /** Whether traffic passes in this direction. */
    fun passes(from: FailureDomainName, to: FailureDomainName): Boolean = (from to to) !in cuts

    /** Messages sent from one region to another. */
    var regionMessages: Long = 0
        private set

    /** Runs [arrival] after the latency, unless the traffic is cut when it is sent. */
    fun send(from: FailureDomainName, to: FailureDomainName, arrival: () -> Unit) {
        if (!passes(from, to)) return
        if (deployment.crossesRegions(from, to)) regionMessages++
        val latency = deployment.latencyMicros(from, to)
        schedule.after(latency, arrival)
    }
}
