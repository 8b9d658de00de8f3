package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.PendingStatement.Phase
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/** Forwards callers' statements to a home of their group. The session itself stays with the proxy of the caller. */
internal object StatementForwarding {
    /** Whether another proxy has to run the statement, because this one may not or cannot use the server it needs. */
    fun isNeeded(reduction: Reduction, session: Session, pending: PendingStatement): Boolean {
        val group = pending.route.group
        return when {
            session.isForwarded -> false
            !GroupHomes.isHome(reduction, group) -> true
            pending.tenant != null &&
                TenantHomes.isPreferredElsewhere(reduction, group, pending.tenant, pending.excludedHomes) -> true
            else -> lacksServer(reduction, session, pending) && candidates(reduction, pending).isNotEmpty()
        }
    }

    /**
     * Forwards the statement to the preferred home, unless it has to wait for another token first; returns false if
     * there is no home, or the statement has to pause.
     */
    fun assign(reduction: Reduction, session: Session, pending: PendingStatement): Boolean {
        val notBefore = (pending.phase as? Phase.Waiting)?.notBefore
        val isPaused = notBefore != null && reduction.now < notBefore
        val home = if (isPaused) null else candidates(reduction, pending).firstOrNull()
        val renewal = if (home == null) null else ExpiredTokens.renew(reduction, session, pending)
        if (home != null && renewal is TokenRenewal.Ready) {
            forward(reduction, renewal.session, renewal.session.pending ?: pending, home)
        }
        return home != null
    }

    /** Forwards a statement to the home that holds the transaction of its session. */
    fun sendInTransaction(
        reduction: Reduction,
        session: Session,
        pending: PendingStatement,
        remote: Transaction.Remote,
    ) = forward(reduction, session, pending, remote.home)

    /** Tells the home that holds the transaction of [session] to roll it back. */
    fun rollback(reduction: Reduction, session: Session, remote: Transaction.Remote) =
        reduction.emit(SessionEffect.EndForwarded(session.number, remote.home))

    /** Ends what a home holds for [session], which has ended. */
    fun end(reduction: Reduction, session: Session) {
        val home = (session.pending?.phase as? Phase.Forwarded)?.home ?: session.remote?.home ?: return
        reduction.emit(SessionEffect.EndForwarded(session.number, home))
    }

    /** Gives up a forwarded statement whose home has not answered in time. */
    fun checkTimeout(reduction: Reduction, session: Session, pending: PendingStatement, phase: Phase.Forwarded) {
        val limit = pending.route.statementTimeout + reduction.settings.homes.answerMargin
        if (reduction.now - pending.arrivedAt <= limit) return
        avoid(reduction, phase.home)
        reduction.emit(SessionEffect.EndForwarded(session.number, phase.home))
        StatementDeadlines.answerExpired(reduction, session, pending, "home ${phase.home} did not answer in time")
    }

    /** Prefers other homes for a while. */
    fun avoid(reduction: Reduction, home: Endpoint) {
        val fleet = reduction.state.fleet
        val unreachable = fleet.unreachableHomes.put(home, reduction.now)
        reduction.state = reduction.state.copy(fleet = fleet.copy(unreachableHomes = unreachable))
    }

    /** The other homes to which the statement may be forwarded, the preferred one first. */
    fun candidates(reduction: Reduction, pending: PendingStatement): List<Endpoint> {
        val group = pending.route.group
        return if (pending.tenant == null) {
            GroupHomes.accepting(reduction, group, pending.excludedHomes)
        } else {
            TenantHomes.accepting(reduction, group, pending.tenant, pending.excludedHomes)
        }
    }

    // A home forwards what it cannot run: the primary does not answer it, or the known log position is too old.
    private fun lacksServer(reduction: Reduction, session: Session, pending: PendingStatement): Boolean {
        val group = reduction.group(pending.route.group)
        val primary = group.record?.primary ?: return false
        val unreachable = ServerHealthTracking.isSilent(reduction, primary) ||
            reduction.health(primary).connectPause != null
        val fresh = PrimaryStatus.minimumPosition(reduction, session, pending) != null
        val needsPrimary = ServerSelection.needsPrimary(session, pending)
        return unreachable && !PrimaryStatus.isChanging(group) && (needsPrimary || !fresh)
    }

    private fun forward(reduction: Reduction, session: Session, pending: PendingStatement, home: Endpoint) {
        val message = ForwardedMessages.message(reduction, session, pending)
        if (ForwardedSize.exceeds(message, reduction.settings.homes.forwardLimitBytes)) {
            return ForwardedSize.refuse(reduction, session, pending)
        }
        val sent = pending.copy(phase = Phase.Forwarded(home), attempts = pending.attempts + 1)
        reduction.put(session.copy(pending = sent))
        reduction.count(SessionCounter.FORWARDS, "sent")
        reduction.emit(SessionEffect.ForwardStatement(session.number, home, message))
    }
}
