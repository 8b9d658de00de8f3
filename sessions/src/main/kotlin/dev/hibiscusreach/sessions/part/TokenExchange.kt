package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.allowance.AllowanceGrant
import dev.hibiscusreach.sessions.allowance.AllowanceLimits
import dev.hibiscusreach.sessions.allowance.AllowanceRequest
import dev.hibiscusreach.sessions.allowance.OutstandingRequest
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.tenant.Allowance
import dev.hibiscusreach.sessions.tenant.TenantName

/** Asks owners for tokens, one after the other, and handles their answers. */
internal object TokenExchange {
    /** Starts waiting operations as far as there are tokens, and asks owners for the tokens that are missing. */
    fun advance(reduction: Reduction, tenant: TenantName, allowance: Allowance) {
        TokenSupply.startWaiting(reduction, tenant, allowance)
        // Each owner is asked at most once, since it is paused or its answer is outstanding afterwards.
        repeat(AllowanceLimits.OWNERS) {
            val tokens = reduction.state.allowances.tenants[tenant]
            val owner = tokens?.let { TokenSupply.requests(reduction, tenant).nextOwner(it) }
            if (owner != null) ask(reduction, tenant, allowance, owner)
        }
        TokenSupply.reviewMinimum(reduction, tenant, allowance)
    }

    /** Asks an owner although no operation waits, to notice when owners are reached again after the minimum. */
    fun probe(reduction: Reduction, tenant: TenantName, allowance: Allowance) {
        val tokens = reduction.state.allowances.tenants[tenant]?.takeIf { it.onMinimum }
        val owner = tokens?.let { TokenSupply.requests(reduction, tenant).availableOwner(it) }
        if (owner != null) ask(reduction, tenant, allowance, owner)
    }

    /** Handles an owner's answer. */
    fun answered(reduction: Reduction, event: SessionEvent.AllowanceAnswered) {
        val grant = event.grant
        SilentOwners.answered(reduction, event.owner)
        val tokens = reduction.state.allowances.tenants[grant.tenant]
        val request = tokens?.requests?.get(event.owner)?.takeIf { it.number == grant.number } ?: return
        val allowance = OperationAllowances.allowanceOf(reduction, grant.tenant)
        if (grant.granting) {
            val count = usable(reduction, grant, allowance, request)
            granted(reduction, event.owner, grant.copy(count = count), request.sentAt)
        } else {
            notGranted(reduction, grant.tenant, event.owner)
        }
        if (allowance != null) advance(reduction, grant.tenant, allowance)
        AllowanceRefusals.refuseHopeless(reduction, grant.tenant)
    }

    /** Asks the next owners for what was requested through a link that is lost. */
    fun linkLost(reduction: Reduction, owner: Endpoint) {
        val pause = reduction.settings.tenants.ownerAvoidance
        SilentOwners.linkLost(reduction, owner)
        for ((tenant, tokens) in reduction.state.allowances.tenants) {
            if (owner !in tokens.requests) continue
            TokenSupply.update(reduction, tenant) {
                TokenSupply.requests(reduction, tenant).failed(it, owner, pause)
            }
            OperationAllowances.allowanceOf(reduction, tenant)?.let { advance(reduction, tenant, it) }
        }
    }

    /** Continues with the tenants whose operations wait for tokens. */
    fun review(reduction: Reduction) {
        for (tenant in reduction.state.allowances.waiting) {
            SilentOwners.review(reduction, tenant)
            TokenSupply.update(reduction, tenant) {
                TokenSupply.requests(reduction, tenant).withoutOverdue(it.withoutExpired(reduction.now))
            }
            val allowance = OperationAllowances.allowanceOf(reduction, tenant)
            if (allowance == null) {
                TokenSupply.startUnlimited(reduction, tenant)
            } else {
                advance(reduction, tenant, allowance)
            }
            AllowanceRefusals.refuseHopeless(reduction, tenant)
        }
    }

    private fun ask(reduction: Reduction, tenant: TenantName, allowance: Allowance, owner: Endpoint) {
        if (owner == reduction.state.self.peerEndpoint) return takeOwn(reduction, tenant, allowance)
        val state = reduction.state.allowances
        val requests = TokenSupply.requests(reduction, tenant)
        val request = AllowanceRequest(tenant, requests.count(state.tenants.getValue(tenant)), state.nextRequest)
        reduction.state = reduction.state.copy(allowances = state.copy(nextRequest = state.nextRequest + 1))
        val outstanding = OutstandingRequest(request.number, request.count, reduction.now)
        TokenSupply.update(reduction, tenant) { requests.sent(it, owner, outstanding) }
        reduction.count(SessionCounter.ALLOWANCE_REQUESTS, "sent")
        reduction.emit(SessionEffect.RequestAllowance(owner, request))
    }

    private fun takeOwn(reduction: Reduction, tenant: TenantName, allowance: Allowance) {
        val tokens = reduction.state.allowances.tenants.getValue(tenant)
        val missing = maxOf(1, tokens.missing(reduction.now, reduction.settings.tenants.ownerPatience))
        val grant = AllowanceOwnership.grant(reduction, AllowanceRequest(tenant, missing, number = 0), allowance)
        val self = reduction.state.self.peerEndpoint
        if (grant.granting) granted(reduction, self, grant, reduction.now) else notGranted(reduction, tenant, self)
        TokenSupply.startWaiting(reduction, tenant, allowance)
    }

    private fun granted(reduction: Reduction, owner: Endpoint, grant: AllowanceGrant, sentAt: MonotonicTime) {
        val tenant = grant.tenant
        val expiresAt = sentAt + reduction.settings.tenants.tokenLife
        if (reduction.state.allowances.tenants[tenant]?.onMinimum == true) {
            reduction.log("allowance minimum left", "tenant" to tenant)
        }
        TokenSupply.update(reduction, tenant) {
            TokenSupply.requests(reduction, tenant).answered(it, owner, grant, expiresAt)
        }
    }

    private fun notGranted(reduction: Reduction, tenant: TenantName, owner: Endpoint) =
        TokenSupply.update(reduction, tenant) {
            val pause = reduction.settings.tenants.notGrantingPause
            TokenSupply.requests(reduction, tenant).failed(it, owner, pause)
        }

    private fun usable(
        reduction: Reduction,
        grant: AllowanceGrant,
        allowance: Allowance?,
        request: OutstandingRequest,
    ): Int {
        val ownVersion = reduction.state.configuration?.version ?: 0
        val rate = allowance?.ratePerSecond ?: 0.0
        val isOutdated = grant.configurationVersion < ownVersion && grant.ratePerSecond > rate
        val isExpired = reduction.now - request.sentAt >= reduction.settings.tenants.tokenLife
        val label = if (isOutdated) "outdated" else if (isExpired) "expired" else "granted"
        repeat(grant.count) { reduction.count(SessionCounter.ALLOWANCE_TOKENS, label) }
        return if (isOutdated || isExpired) 0 else grant.count
    }
}
