package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.model.Route
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.state.TenantSettings
import dev.hibiscusreach.sessions.state.Transaction
import dev.hibiscusreach.sessions.tenant.ApiKey
import dev.hibiscusreach.sessions.tenant.CallerIdentity
import dev.hibiscusreach.sessions.tenant.TenantName

/** Whether a caller may use a route. */
internal sealed interface CallerDecision {
    /** It may; servers run its statements as [tenant], or without one if that is null. */
    data class Admitted(val tenant: TenantName?) : CallerDecision

    /** It may not. */
    data class Refused(val reason: CallerRefusal) : CallerDecision
}

/** Why a caller may not use a route. */
internal enum class CallerRefusal(
    /** Name in log lines and metrics. */
    val label: String,
    val kind: ErrorKind,
    /** Explanation for the caller. */
    val message: String,
) {
    NO_CONFIGURATION("no-configuration", ErrorKind.NO_CONFIGURATION, "no configuration is known"),
    UNCONFIRMED_CONFIGURATION(
        "unconfirmed-configuration",
        ErrorKind.NO_CONFIGURATION,
        "the configuration has not been confirmed lately, so the key cannot be checked",
    ),
    UNKNOWN_KEY("unknown-caller", ErrorKind.UNKNOWN_CALLER, "the key is unknown or has been revoked"),
}

/** Decides by the configuration in force whether a caller's key allows it to use a route. */
internal object CallerAdmission {
    private const val REVOKED_KEY = "revoked-key"

    /** The decision for a caller with [key] on [route]. */
    fun decide(reduction: Reduction, route: Route, key: ApiKey?): CallerDecision {
        val configuration =
            reduction.state.configuration ?: return CallerDecision.Refused(CallerRefusal.NO_CONFIGURATION)
        val identity = CallerIdentity.resolve(configuration, route, key)
        return when {
            identity == CallerIdentity.Unrestricted -> CallerDecision.Admitted(tenant = null)
            // An unknown key may be one that a newer version has added.
            ConfigurationFreshness.mayMissRevocation(reduction) ->
                CallerDecision.Refused(CallerRefusal.UNCONFIRMED_CONFIGURATION)
            identity is CallerIdentity.Identified -> CallerDecision.Admitted(identity.tenant.name)
            else -> CallerDecision.Refused(CallerRefusal.UNKNOWN_KEY)
        }
    }

    /**
     * The decision for a statement of [session]. A transaction keeps the identity with which it began, unless it has
     * reached no server for longer than transactions may be idle. The peer that forwards a statement has checked the
     * key.
     */
    fun decide(reduction: Reduction, route: Route, session: Session): CallerDecision {
        val begun = session.transaction.begun
        return when {
            begun != null && !isForgotten(reduction, session) -> CallerDecision.Admitted(begun.tenant)
            session.isForwarded -> CallerDecision.Admitted(session.forwardedTenant)
            else -> decide(reduction, route, session.key)
        }
    }

    private fun isForgotten(reduction: Reduction, session: Session): Boolean {
        val begun = (session.transaction as? Transaction.Begun)?.takeUnless { session.isForwarded }
        val limit = reduction.state.configuration?.transactionIdleLimit
        return begun != null && limit != null && reduction.now - begun.begunAt > limit
    }

    /** Records that a transaction or statement of [session] is refused, and returns the session after it. */
    fun recordRefusal(reduction: Reduction, session: Session, reason: CallerRefusal): Session {
        val isRevoked = reason == CallerRefusal.UNKNOWN_KEY && session.key != null
        reduction.count(SessionCounter.CALLER_REFUSALS, if (isRevoked) REVOKED_KEY else reason.label)
        if (!isRevoked || session.revocationLogged) return session
        reduction.log(
            "key revoked",
            "session" to session.number.value,
            "database" to session.database,
            "configurationVersion" to reduction.state.configuration?.version,
        )
        return session.copy(revocationLogged = true)
    }

    /** Applies the host's settings for tenants after they have changed. */
    fun changeSettings(reduction: Reduction, settings: TenantSettings) {
        if (settings == reduction.settings.tenants) return
        reduction.state = reduction.state.copy(settings = reduction.settings.copy(tenants = settings))
        reduction.log(
            "settings for tenants changed",
            "strictRevocation" to settings.strictRevocation,
            "revocationLimitMillis" to settings.revocationLimit.value,
            "allowanceWindowMillis" to settings.allowanceWindow.value,
            "allowanceTolerance" to settings.allowanceTolerance,
            "allowanceSlack" to settings.allowanceSlack,
        )
    }
}
