package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.Session

/** Assigns statements to server connections, and queues those for which no connection is idle. */
internal object StatementDispatch {
    /** Sends a statement that has just arrived on the connection of its transaction or on an idle one, or queues it. */
    fun start(reduction: Reduction, session: Session, pending: PendingStatement) {
        val running = session.running
        val remote = session.remote
        when {
            running != null -> StatementSending.sendInTransaction(reduction, session, pending, running)
            remote != null -> StatementForwarding.sendInTransaction(reduction, session, pending, remote)
            else -> requeue(reduction, session, pending)
        }
    }

    /** Sends a statement again or puts it back into the queue. With [pause] it is not sent before the pause ends. */
    fun requeue(reduction: Reduction, session: Session, pending: PendingStatement, pause: Millis? = null) {
        if (ConfigurationAgreement.isOutdated(reduction, session, pending)) {
            return ConfigurationAgreement.reroute(reduction, session, pending)
        }
        val waiting = pending.copy(phase = Phase.Waiting(pause?.let { reduction.now + it }))
        val next = session.copy(pending = waiting)
        reduction.put(next)
        val admitted = OperationAllowances.admit(reduction, next, waiting) ?: return
        val toSend = admitted.pending ?: waiting
        when {
            pause == null && StatementQueue.isNeeded(reduction, admitted, toSend) ->
                StatementQueue.addBeforeAdmission(reduction, admitted, toSend)
            pause != null || !assign(reduction, admitted, toSend) ->
                StatementQueue.addOrRefuse(reduction, admitted, toSend)
        }
    }

    /** Assigns idle connections of a group to waiting statements; with tenants at the end of the event. */
    fun serveWaiting(reduction: Reduction, group: GroupName) {
        if (TenantPools.apply(reduction)) {
            reduction.servable += group
        } else {
            val order = reduction.state.waiting[group].orEmpty().sortedBy { dispatchOrder(reduction, it) }
            serveInOrder(reduction, group, order)
        }
    }

    /** Assigns idle connections of a group to waiting statements in [order]; with tenants [queue] counts them. */
    fun serveInOrder(
        reduction: Reduction,
        group: GroupName,
        order: List<SessionNumber>,
        queue: WaitingTenants? = null,
    ) {
        val unserved = UnservedKinds(reduction)
        for (number in order) {
            val session = reduction.session(number)
            val pending = session?.pending
            when {
                pending == null || pending.phase !is Phase.Waiting -> reduction.dequeue(group, number)
                ConfigurationAgreement.isOutdated(reduction, session, pending) ->
                    ConfigurationAgreement.reroute(reduction, session, pending)
                queue != null && unserved.contains(session, pending) -> Unit
                assign(reduction, session, pending, queue) -> {
                    reduction.dequeue(group, number)
                    queue?.remove(session, pending)
                }
                queue != null -> unserved.add(session, pending)
            }
        }
    }

    /**
     * Sort key, smallest first: the latency deadline, moved back by a fixed time per priority step. A smaller number is
     * a higher priority.
     */
    fun dispatchOrder(reduction: Reduction, number: SessionNumber): Long {
        val pending = reduction.session(number)?.pending ?: return 0
        val deadline = pending.arrivedAt.millis + pending.route.latencyObjective.value
        return deadline + pending.route.priority * PRIORITY_STEP_MILLIS
    }

    private fun assign(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        queue: WaitingTenants? = null,
    ): Boolean =
        if (StatementForwarding.isNeeded(reduction, session, pending)) {
            StatementForwarding.assign(reduction, session, pending)
        } else {
            assignConnection(reduction, session, pending, queue)
        }

    private fun assignConnection(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        queue: WaitingTenants?,
    ): Boolean {
        val notBefore = (pending.phase as? Phase.Waiting)?.notBefore
        val isPaused = notBefore != null && reduction.now < notBefore
        val isFull = TenantPools.apply(reduction) && !TenantDispatch.hasSlot(reduction, pending.route.group)
        val mayChoose = !isPaused && !isFull
        val able = if (mayChoose) ServerSelection.candidates(reduction, session, pending) else emptyList()
        val candidates = able.filter { ConcurrencyLimit.hasRoom(reduction, it.server) }
        val chosen =
            if (TenantPools.apply(reduction)) {
                TenantDispatch.connection(reduction, session, pending, candidates, queue)
            } else {
                openConnection(reduction, pending, candidates)
                candidates.firstNotNullOfOrNull { ConnectionCheckout.idle(reduction, session, pending, it) }
            }
        return chosen != null && StatementStart.start(reduction, session, pending, chosen)
    }

    // Opens a connection at the best server that can take one more, unless the best server has an idle connection or
    // more connections are being opened than statements wait.
    private fun openConnection(reduction: Reduction, pending: PendingStatement, candidates: List<ServerCandidate>) {
        val waiting = reduction.state.waiting[pending.route.group]?.size ?: 0
        val pools = candidates.map { ConnectionPools.connections(reduction, it.server.name) }
        if (pools.firstOrNull().orEmpty().any { it.idle && it.tenant == pending.tenant }) return
        val opening = pools.sumOf { pool -> pool.count { !it.open } }
        if (opening <= waiting) candidates.firstOrNull { ConnectionPools.open(reduction, it.server, pending.tenant) }
    }

    /** Time by which one priority step moves the latency deadline back, in milliseconds. */
    private const val PRIORITY_STEP_MILLIS = 200L
}
