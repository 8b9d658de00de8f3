package dev.hibiscusreach.sessions.allowance

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.sessions.tenant.TenantName

/** One request of a peer for tokens that waits for an answer; unique within a process. */
@JvmInline
value class AllowanceRequestNumber(val value: Long)

/** Asks an owner for [count] tokens of [tenant]; [number] is the sender's number of the request. */
data class AllowanceRequest(val tenant: TenantName, val count: Int, val number: Long)

/** An owner's answer to the [AllowanceRequest] with the same number. */
data class AllowanceGrant(
    val tenant: TenantName,
    val number: Long,
    val count: Int,
    /** Time after which the owner expects a token again; zero if it granted all that were requested. */
    val retryAfter: Millis,
    /** The tenant's rate by the owner's configuration; 0 if that has no such tenant, infinite without a limit. */
    val ratePerSecond: Double,
    /** Version of the owner's configuration. */
    val configurationVersion: Long,
    /** Whether the receiver of the request is an owner that may grant. */
    val granting: Boolean,
)
