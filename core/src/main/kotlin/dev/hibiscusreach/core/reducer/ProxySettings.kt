package dev.hibiscusreach.core.reducer

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.milliseconds
import dev.hibiscusreach.core.model.seconds

/** Local settings of one process, in addition to the shared configuration. */
data class ProxySettings(
    val self: NodeIdentity,
    val failureDomain: FailureDomainName,
    val seeds: List<Endpoint> = emptyList(),
    val membership: MembershipSettings = MembershipSettings(),
    val group: GroupSettings = GroupSettings(),
    val pool: PoolSettings = PoolSettings(),
    val request: RequestSettings = RequestSettings(),
)

/** Timing of the membership protocol, the host list and the configuration's dissemination. */
data class MembershipSettings(
    val period: Millis = 500.milliseconds,
    val pingTimeout: Millis = 400.milliseconds,
    val suspicionTimeout: Millis = 2.seconds,
    val indirectPings: Int = 3,
    val announcementFanOut: Int = 3,
    val watchersPerFailureDomain: Int = 2,
    val watchWait: Millis = 25.seconds,
    val platformTimeout: Millis = 2.seconds,
    val hostListPeriod: Millis = 10.seconds,
    /** A timer that fires late by more than this indicates that the process was paused. */
    val pauseThreshold: Millis = 2.seconds,
)

/** Timing of probes and failover. */
data class GroupSettings(
    val probePeriod: Millis = 250.milliseconds,
    val probeTimeout: Millis = 1.seconds,
    val suspicionAfter: Millis = 1.seconds,
    val sightingWait: Millis = 300.milliseconds,
    val proposerStagger: Millis = 700.milliseconds,
    val fenceWait: Millis = 200.milliseconds,
    val failoverTimeout: Millis = 3.seconds,
)

/** Sizes and timing of the connection pools, queues and caller permits. */
data class PoolSettings(
    val queueLimit: Int = 64,
    val queueWait: Millis = 1.seconds,
    val period: Millis = 100.milliseconds,
    val idleProbeAfter: Millis = 5.seconds,
    val idleProbeTimeout: Millis = 2.seconds,
    val openTimeout: Millis = 2.seconds,
    val takeoverDelay: Millis = 3.seconds,
    val permitLease: Millis = 3.seconds,
    val permitMargin: Millis = 500.milliseconds,
    val permitRetry: Millis = 200.milliseconds,
    val openRetry: Millis = 200.milliseconds,
)

/** Limits and timing of requests. */
data class RequestSettings(
    val freshReplicaWait: Millis = 50.milliseconds,
    val commandTimeout: Millis = 2.seconds,
    val maximumDeadline: Millis = 30.seconds,
    val maximumAttempts: Int = 3,
    val retryBudgetPercent: Int = 10,
    val retryBudgetBurst: Int = 10,
    val requestRetention: Millis = REQUEST_RETENTION_SECONDS.seconds,
    val clockTolerance: Millis = CLOCK_TOLERANCE_SECONDS.seconds,
    val transactionIdleLimit: Millis = 5.seconds,
    val transactionLifeLimit: Millis = 30.seconds,
    val maximumInFlight: Int = 20_000,
    val maximumHops: Int = 2,
    val leavingNotice: Millis = 1.seconds,
    val drainLimit: Millis = 10.seconds,
)

/** One hour less than the 24 hours for which databases keep idempotency records. */
private const val REQUEST_RETENTION_SECONDS = 23 * 60 * 60

private const val CLOCK_TOLERANCE_SECONDS = 5 * 60
