package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.sessions.tenant.TenantName
import kotlinx.collections.immutable.PersistentSet

/** Remembers the owners that did not answer in time for one tenant, so that they are asked last for all tenants. */
internal object SilentOwners {
    /** [owner] has answered. */
    fun answered(reduction: Reduction, owner: Endpoint) =
        put(reduction, reduction.state.allowances.silent.remove(owner))

    /** The link to [owner] is lost; that matters if it was asked for tokens. */
    fun linkLost(reduction: Reduction, owner: Endpoint) {
        val state = reduction.state.allowances
        if (state.tenants.values.any { owner in it.requests }) put(reduction, state.silent.add(owner))
    }

    /** Takes note of the owners that have not answered a request for tokens of [tenant] in time. */
    fun review(reduction: Reduction, tenant: TenantName) {
        val state = reduction.state.allowances
        val patience = reduction.settings.tenants.ownerPatience
        val silent = state.tenants[tenant]?.silentOwners(reduction.now, patience).orEmpty()
        put(reduction, state.silent.addAll(silent))
    }

    private fun put(reduction: Reduction, silent: PersistentSet<Endpoint>) {
        val state = reduction.state.allowances
        if (silent !== state.silent) reduction.state = reduction.state.copy(allowances = state.copy(silent = silent))
    }
}
