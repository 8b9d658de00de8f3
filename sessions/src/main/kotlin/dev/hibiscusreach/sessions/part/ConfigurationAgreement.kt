package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.ForwardedAnswer
import dev.hibiscusreach.sessions.model.ForwardedScope
import dev.hibiscusreach.sessions.model.ForwardedStatement
import dev.hibiscusreach.sessions.model.RoutingConfiguration
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.Transaction

/**
 * Keeps proxies that know different versions of the configuration from contradicting each other. A home runs no
 * statement by a route that it does not know itself: otherwise it would show a version to the servers and then refuse
 * sessions by an older one, or run a statement of a route that it has already seen removed.
 */
internal object ConfigurationAgreement {
    /** The answer to a forwarded statement whose route or tenant is not the one in force here; null if it may run. */
    fun refusal(reduction: Reduction, statement: ForwardedStatement): ForwardedAnswer.OtherRoute? {
        val own = reduction.state.configuration
        val version = statement.configurationVersion
        return when {
            own == null || version == null -> null
            version == own.version ->
                ForwardedAnswer
                    .OtherRoute(own.version)
                    .takeIf { !beganEarlier(statement) && lacksTenant(own, statement) }
            hasTenant(own, statement) && own.routes[statement.route.database] == statement.route -> null
            else -> {
                if (version > own.version) refresh(reduction)
                val isRefused = version > own.version || !beganEarlier(statement) || !hasTenant(own, statement)
                ForwardedAnswer.OtherRoute(own.version).takeIf { isRefused }
            }
        }
    }

    // A build that does not know of tenants sends none, also by the same version.
    private fun lacksTenant(configuration: RoutingConfiguration, statement: ForwardedStatement): Boolean =
        statement.tenant == null && configuration.tenants != null && !statement.route.public

    // The digest stands for the keys, which are not passed on. It also decides on the first statement of a transaction:
    // a sender that cannot follow the configuration would otherwise admit a revoked key without end.
    private fun hasTenant(configuration: RoutingConfiguration, statement: ForwardedStatement): Boolean {
        val tenant = statement.tenant ?: return !lacksTenant(configuration, statement)
        return configuration.tenants?.hasKeys(tenant.name, tenant.keysDigest) ?: false
    }

    // A change of a route applies from the next transaction on.
    private fun beganEarlier(statement: ForwardedStatement) = statement.scope != ForwardedScope.SINGLE

    /** Reads the configuration from the store itself, because a peer knows a newer version. */
    fun refresh(reduction: Reduction) {
        val askedAt = reduction.state.configurationAskedAt
        val pause = reduction.settings.statements.configurationRefreshPause
        if (askedAt != null && reduction.now - askedAt < pause) return
        reduction.state = reduction.state.copy(configurationAskedAt = reduction.now)
        reduction.log("configuration read again", "inForce" to reduction.state.configuration?.version)
        reduction.emit(SessionEffect.ReadConfiguration)
    }

    /** Whether a statement outside of a transaction waits by a route or identity that is no longer in force. */
    fun isOutdated(reduction: Reduction, session: Session, pending: PendingStatement): Boolean {
        val configuration = reduction.state.configuration
        return when {
            configuration == null || session.transaction !is Transaction.None -> false
            session.isForwarded -> isOtherTenant(configuration, session) || isUnconfirmed(reduction, session)
            else ->
                configuration.routes[session.database] != pending.route || isOtherIdentity(reduction, session, pending)
        }
    }

    // The home may learn of a change after it has accepted the statement.
    private fun isOtherTenant(configuration: RoutingConfiguration, session: Session): Boolean {
        val directory = configuration.tenants
        val tenant = session.forwardedTenant
        return when {
            tenant != null -> directory?.hasKeys(tenant, session.forwardedKeysDigest) != true
            else -> directory != null && configuration.routes[session.database]?.public != true
        }
    }

    private fun isUnconfirmed(reduction: Reduction, session: Session): Boolean =
        session.forwardedTenant != null && ConfigurationFreshness.mayMissRevocation(reduction)

    /**
     * Queues a statement by the current route of its database, or refuses it if there is none. A statement of a peer
     * goes back to it.
     */
    fun reroute(reduction: Reduction, session: Session, pending: PendingStatement) {
        reduction.dequeue(pending.route.group, session.number)
        val version = reduction.state.configuration?.version
        if (session.isForwarded && version != null) {
            reduction.remove(session)
            reduction.emit(SessionEffect.AnswerForwarded(session.number, ForwardedAnswer.OtherRoute(version)))
            return
        }
        val route = reduction.state.configuration?.routes?.get(session.database)
        if (route == null) {
            StatementFailures.refuse(reduction, session, pending, ErrorKind.UNKNOWN_DATABASE, "no such database")
            return
        }
        when (val decision = CallerAdmission.decide(reduction, route, session)) {
            is CallerDecision.Refused -> {
                val reason = decision.reason
                val refused = CallerAdmission.recordRefusal(reduction, session, reason)
                StatementFailures.refuse(reduction, refused, pending, reason.kind, reason.message)
            }
            is CallerDecision.Admitted -> {
                if (decision.tenant != pending.tenant) OperationAllowances.release(reduction, session)
                val rerouted =
                    pending.copy(
                        route = route,
                        tenant = decision.tenant,
                        token = pending.token.takeIf { decision.tenant == pending.tenant },
                        reachedServer = pending.reachedServer && decision.tenant == pending.tenant,
                        excluded = emptySet(),
                        excludedHomes = emptySet(),
                    )
                StatementDispatch.requeue(reduction, session, rerouted)
            }
        }
    }

    private fun isOtherIdentity(reduction: Reduction, session: Session, pending: PendingStatement): Boolean =
        CallerAdmission.decide(reduction, pending.route, session) != CallerDecision.Admitted(pending.tenant)
}
