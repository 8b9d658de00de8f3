package dev.hibiscusreach.sessions.tenant

import dev.hibiscusreach.sessions.model.Route
import dev.hibiscusreach.sessions.model.RoutingConfiguration

/** Who a caller is under one version of the configuration. */
sealed interface CallerIdentity {
    /** The tenant under which servers run the caller's statements; null if there is none. */
    val tenant: Tenant?

    /** The configuration has no tenants, or the route is public. */
    data object Unrestricted : CallerIdentity {
        override val tenant: Tenant? get() = null
    }

    /** The caller's key belongs to [tenant]. */
    data class Identified(override val tenant: Tenant) : CallerIdentity

    /** The configuration does not have the caller's key. */
    data object Denied : CallerIdentity {
        override val tenant: Tenant? get() = null
    }

    companion object {
        /** Resolves [key] for statements by [route]. */
        fun resolve(configuration: RoutingConfiguration, route: Route, key: ApiKey?): CallerIdentity {
            val directory = configuration.tenants
            if (directory == null || route.public) return Unrestricted
            return directory.holder(key)?.let(::Identified) ?: Denied
        }
    }
}
