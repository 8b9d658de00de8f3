package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.ServerConnection
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.tenant.TenantName

/** Finds or opens the connection for a statement when each connection belongs to one tenant. */
internal object TenantDispatch {
    /**
     * Serves the waiting statements of the groups in which a connection may have become available during [event].
     * Tenants below their shares come first; what they cannot use is then open to all. Statements that have just
     * arrived and still wait are admitted or refused afterwards.
     */
    fun serveMarked(reduction: Reduction, event: SessionEvent) {
        if (!TenantPools.apply(reduction)) return
        val groups = reduction.servable.toList()
        reduction.servable.clear()
        for (group in groups.filter { it in reduction.state.waiting && mayServe(reduction, event, it) }) {
            val waiting = WaitingTenants(reduction, group, appliesShares = true)
            StatementDispatch.serveInOrder(reduction, group, FairQueue.ordered(reduction, group), waiting)
            if (waiting.heldBack && group in reduction.state.waiting) {
                val rest = WaitingTenants(reduction, group)
                StatementDispatch.serveInOrder(reduction, group, FairQueue.ordered(reduction, group), rest)
            }
        }
        StatementQueue.admit(reduction)
    }

    // The most frequent events change nothing for statements that wait for other reasons than a connection. Under
    // overload, going through all waiting statements at each of them would take most of the processor's time.
    private fun mayServe(reduction: Reduction, event: SessionEvent, group: GroupName): Boolean {
        val isFrequent =
            event is SessionEvent.StatementArrived ||
                event is SessionEvent.StatementForwarded ||
                event is SessionEvent.ServerAnswered
        return !isFrequent || hasSlot(reduction, group)
    }

    /**
     * An idle connection of the statement's tenant with its server; null if there is none, in which case one may be
     * being opened. [queue] counts what waits in the group; it is null for a statement that is not served from there.
     */
    fun connection(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        candidates: List<ServerCandidate>,
        queue: WaitingTenants?,
    ): Pair<ServerConnection, ServerCandidate>? {
        if (candidates.isEmpty()) return null
        val group = pending.route.group
        val waiting = queue ?: WaitingTenants(reduction, group)
        val usable =
            candidates.filter { candidate ->
                hasSlot(reduction, candidate.server) &&
                    RestingTransactions.mayBegin(reduction, session, pending, candidate.server) &&
                    !(waiting.appliesShares && PoolShares.holdBack(reduction, pending, candidate.server, waiting))
            }
        val chosen = usable.firstNotNullOfOrNull { ConnectionCheckout.idle(reduction, session, pending, it) }
        val isMissing = chosen == null && usable.isNotEmpty()
        when {
            chosen != null && chosen.second == usable.first() -> Unit
            isMissing && !hasEnoughOpening(reduction, session, pending, candidates, waiting) ->
                open(reduction, pending, usable, waiting)
            chosen != null && group !in reduction.state.waiting ->
                openForLater(reduction, pending, usable.first().server)
        }
        return chosen
    }

    /** Whether a connection to a server of [group] is idle or may be opened; finding the right one takes longer. */
    fun hasSlot(reduction: Reduction, group: GroupName): Boolean =
        reduction.servers(group).any { hasSlot(reduction, it) }

    private fun hasSlot(reduction: Reduction, server: RegisteredServer): Boolean {
        val pool = ConnectionPools.connections(reduction, server.name)
        val hasConnection = pool.size < ConnectionPools.maxConnections(reduction, server) || pool.any { it.idle }
        return hasConnection && ConcurrencyLimit.hasRoom(reduction, server)
    }

    // A nearer server than the one that serves the statement gets a connection if that costs nobody else one.
    private fun openForLater(reduction: Reduction, pending: PendingStatement, server: RegisteredServer) {
        val pool = ConnectionPools.connections(reduction, server.name)
        if (pool.none { it.tenant == pending.tenant }) ConnectionPools.open(reduction, server, pending.tenant)
    }

    private fun open(
        reduction: Reduction,
        pending: PendingStatement,
        candidates: List<ServerCandidate>,
        waiting: WaitingTenants,
    ) {
        val opened = candidates.any { ConnectionPools.open(reduction, it.server, pending.tenant) }
        if (!opened) candidates.any { replace(reduction, pending, it.server, waiting) }
    }

    // Each waiting statement needs one connection. Connections to the primary that are being opened for statements
    // that need it do not count for those that a replica can run.
    private fun hasEnoughOpening(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        candidates: List<ServerCandidate>,
        waiting: WaitingTenants,
    ): Boolean {
        val group = pending.route.group
        val primary = reduction.group(group).record?.primary
        val opening = candidates.associate { it.server.name to opening(reduction, it.server.name, pending.tenant) }
        val needsPrimary = ServerSelection.needsPrimary(session, pending)
        val writers = waiting.needingPrimary[pending.tenant] ?: 0
        val isQueued = session.number in reduction.state.waiting[group].orEmpty()
        val queued = if (needsPrimary) writers else waiting.reading[pending.tenant] ?: 0
        val needed = if (isQueued) maxOf(1, queued) else queued + 1
        val forWriters = if (needsPrimary) 0 else minOf(writers, opening[primary] ?: 0)
        return opening.values.sum() - forWriters >= needed
    }

    private fun opening(reduction: Reduction, server: ServerName, tenant: TenantName?): Int =
        ConnectionPools.connections(reduction, server).count { !it.open && it.tenant == tenant }

    // Closes the connection of another tenant that has been idle for longest. While the server may still count
    // connections that were closed before, the new one is opened later.
    private fun replace(
        reduction: Reduction,
        pending: PendingStatement,
        server: RegisteredServer,
        waiting: WaitingTenants,
    ): Boolean {
        val isPaused = ServerHealthTracking.isConnectPaused(reduction, server.name)
        val victim = if (isPaused) null else IdleReplacement.victim(reduction, pending, server, waiting)
        if (victim != null) {
            ConnectionPools.close(reduction, victim)
            reduction.count(SessionCounter.CONNECTIONS, "replaced")
            ConnectionPools.open(reduction, server, pending.tenant)
        }
        return victim != null
    }
}
