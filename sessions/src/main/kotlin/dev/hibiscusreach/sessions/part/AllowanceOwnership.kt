package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.sessions.allowance.AllowanceGrant
import dev.hibiscusreach.sessions.allowance.AllowanceLimits
import dev.hibiscusreach.sessions.allowance.AllowanceOwner
import dev.hibiscusreach.sessions.allowance.AllowanceProxy
import dev.hibiscusreach.sessions.allowance.AllowanceRequest
import dev.hibiscusreach.sessions.allowance.FleetOwnership
import dev.hibiscusreach.sessions.allowance.ObservedFleet
import dev.hibiscusreach.sessions.allowance.TakenTokens
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.tenant.Allowance
import dev.hibiscusreach.sessions.tenant.TenantName

/** The allowances that this proxy owns: it grants tokens to the proxies of callers, itself included. */
internal object AllowanceOwnership {
    /** Takes note of the fleet's records. [renews] tells whether the read renews the lease. */
    fun observe(reduction: Reduction, event: SessionEvent.FleetRead, renews: Boolean) {
        val self = reduction.state.self
        val state = reduction.state.allowances
        val known =
            state.ownership ?: FleetOwnership(
                AllowanceProxy(self.peerEndpoint, self.failureDomain),
                reduction.settings.leases.duration,
            )
        val observed =
            ObservedFleet(
                sentAt = event.sentAt,
                era = event.era,
                proxies =
                event.records.entries
                    .mapNotNull { (key, stored) -> (stored.record as? FleetRecord.Proxy)?.let { key to it } }
                    .toMap(),
                expelledSince = reduction.state.fleet.expelledSince,
                registered = reduction.state.fleet.registered,
                renews = renews,
                replacesTenured = StoreEras.isSettled(reduction) && replacesTenured(reduction, event),
            )
        val next = known.observe(observed, reduction.now)
        reduction.state = reduction.state.copy(allowances = state.copy(ownership = next))
        review(reduction)
    }

    /** Whether the record of this proxy may tell that the proxy has been registered for long enough to grant. */
    fun isTenured(reduction: Reduction): Boolean =
        reduction.state.configuration?.tenants != null &&
            reduction.state.allowances.ownership?.isTenured(reduction.now) == true

    // The address cannot be in use by the earlier process any more.
    private fun replacesTenured(reduction: Reduction, event: SessionEvent.FleetRead): Boolean {
        val self = reduction.state.self
        val record = event.records[FleetKey.proxy(self.identity.node)]?.record as? FleetRecord.Proxy ?: return false
        val isSameProxy = record.peerEndpoint == self.peerEndpoint && record.failureDomain == self.failureDomain
        val isMember = !record.expelled && !record.leaving && record.era == event.era
        return record.tenured && isSameProxy && isMember && record.identity != self.identity
    }

    /** Ends the roles that this proxy has lost, and forgets tenants whose callers have been idle. */
    fun review(reduction: Reduction) {
        val state = reduction.state.allowances
        val reviewed = AllowanceOwner.review(state, reduction.now)
        (state.buckets.keys - reviewed.buckets.keys).forEach { logRole(reduction, "lost", it) }
        val timeout = reduction.settings.tenants.idleTimeout
        val idle =
            reviewed.tenants
                .filterValues { it.waitingCount == 0 && reduction.now - it.usedAt >= timeout }
                .keys
        val tenants = idle.fold(reviewed.tenants) { tenants, tenant -> tenants.remove(tenant) }
        if (reviewed !== state || idle.isNotEmpty()) {
            reduction.state = reduction.state.copy(allowances = reviewed.copy(tenants = tenants))
        }
    }

    /** Answers a peer that asks for tokens. */
    fun requested(reduction: Reduction, event: SessionEvent.AllowanceRequested) {
        val request = event.request
        val tenant = reduction.state.configuration?.tenants?.tenants?.get(request.tenant)
        val grant =
            if (tenant != null && tenant.allowance == null) {
                answer(reduction, request, Double.POSITIVE_INFINITY).copy(count = request.count, granting = true)
            } else {
                grant(reduction, request, tenant?.allowance)
            }
        reduction.count(SessionCounter.ALLOWANCE_REQUESTS, if (grant.granting) "answered" else "not-owner")
        reduction.emit(SessionEffect.AnswerAllowance(event.number, grant))
    }

    /** Grants tokens of [allowance] as an owner, if this proxy may. */
    fun grant(reduction: Reduction, request: AllowanceRequest, allowance: Allowance?): AllowanceGrant {
        val answer = answer(reduction, request, allowance?.ratePerSecond ?: 0.0)
        val taken = allowance?.let { take(reduction, request, it) }
        return if (taken == null) {
            answer
        } else {
            answer.copy(count = taken.granted, retryAfter = taken.retryAfter, granting = true)
        }
    }

    private fun take(reduction: Reduction, request: AllowanceRequest, allowance: Allowance): TakenTokens? {
        if (reduction.state.stoppingSince != null) return null
        val before = reduction.state.allowances
        val tenant = request.tenant
        val settings = reduction.settings.tenants
        val answer =
            AllowanceOwner.grant(before, tenant, request.count, reduction.now) { owners ->
                AllowanceLimits.of(allowance, settings, owners)
            }
        reduction.state = reduction.state.copy(allowances = answer.state)
        if (tenant in answer.state.buckets && tenant !in before.buckets) logRole(reduction, "gained", tenant)
        if (tenant !in answer.state.buckets && tenant in before.buckets) logRole(reduction, "lost", tenant)
        return answer.taken
    }

    private fun answer(reduction: Reduction, request: AllowanceRequest, ratePerSecond: Double) =
        AllowanceGrant(
            tenant = request.tenant,
            number = request.number,
            count = 0,
            retryAfter = Millis(0),
            ratePerSecond = ratePerSecond,
            configurationVersion = reduction.state.configuration?.version ?: 0,
            granting = false,
        )

    /** The owners of [tenant], the nearest first. */
    fun owners(reduction: Reduction, tenant: TenantName): List<Endpoint> {
        val ownership = reduction.state.allowances.ownership?.at(reduction.now) ?: return emptyList()
        return ownership.asked
            .owners(tenant)
            .sortedBy { if (it == ownership.self) -1 else GroupHomes.distance(reduction, it.failureDomain) }
            .map { it.endpoint }
    }

    private fun logRole(reduction: Reduction, change: String, tenant: TenantName) =
        reduction.log("allowance owner role $change", "tenant" to tenant)
}
