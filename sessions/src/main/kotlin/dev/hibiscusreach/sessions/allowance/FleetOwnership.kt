package dev.hibiscusreach.sessions.allowance

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.tenant.TenantName

/** What a read of the fleet records has shown. */
data class ObservedFleet(
    /** When the read was sent. */
    val sentAt: MonotonicTime,
    val era: Long,
    val proxies: Map<FleetKey, FleetRecord.Proxy>,
    /** When each expelled proxy was first seen as such. */
    val expelledSince: Map<FleetKey, MonotonicTime>,
    /** Whether this process is registered and not expelled. */
    val registered: Boolean,
    /** Whether the read renews the lease, which needs a record of the current era. */
    val renews: Boolean,
    /** Whether this process replaces one of the same node that might grant and has a valid record. */
    val replacesTenured: Boolean = false,
)

/**
 * Who owns allowances, as far as this proxy knows. A proxy grants while it is an owner among all proxies that may still
 * grant by any view of the fleet that is valid at the time: the registered ones, and those that were expelled less than
 * a lease duration ago. A proxy that registers grants after a lease duration, so the others count it only then. Of
 * these sets of different proxies, each contains the proxies that were registered a lease duration ago and may still
 * run, so at most [AllowanceLimits.OWNERS] proxies grant the tokens of a tenant at a time. In a smaller fleet the
 * tokens are divided by the number of proxies in this set, which is at least the number of those that grant.
 */
data class FleetOwnership(
    val self: AllowanceProxy,
    val leaseDuration: Millis,
    /** When the latest read was sent. */
    val sentAt: MonotonicTime? = null,
    val era: Long = 0,
    val members: Map<FleetKey, AllowanceProxy> = emptyMap(),
    val registeredAt: MonotonicTime? = null,
    /** Whether this process has replaced one that might grant, and so need not wait. */
    val inheritsTenure: Boolean = false,
    val leaseFrom: MonotonicTime? = null,
    /** When the lease was last renewed after it had expired. */
    val renewedAfterLapseAt: MonotonicTime? = null,
    /** Proxies that registered and do not grant yet. */
    val joining: Map<AllowanceProxy, MonotonicTime> = emptyMap(),
    /** Proxies that are not registered and may still grant. */
    val departing: Map<AllowanceProxy, MonotonicTime> = emptyMap(),
    /** Time in which proxies may grant that a restored store has lost. */
    val pause: GrantingPause? = null,
    /** The proxies among which callers' proxies choose whom to ask. */
    val asked: OwnerChoice = OwnerChoice(emptySet()),
    /** The proxies among which this one must be an owner to grant. */
    val granting: OwnerChoice = OwnerChoice(emptySet()),
    /** All registered proxies, over which the guaranteed minimum is distributed. */
    val registered: OwnerChoice = OwnerChoice(emptySet()),
    /** When [granting] last changed. */
    val grantingSince: MonotonicTime? = null,
) {
    private val tenuredFrom: MonotonicTime?
        get() = if (inheritsTenure) registeredAt else registeredAt?.plus(leaseDuration)

    /** Whether this proxy has been registered for long enough to grant. */
    fun isTenured(now: MonotonicTime): Boolean = tenuredFrom?.let { now >= it } ?: false

    /** Whether this proxy may grant tokens of [tenant]. */
    fun mayGrant(tenant: TenantName, now: MonotonicTime): Boolean =
        holdsLease(now) && pause?.contains(now) != true && self in granting.owners(tenant)

    /** The time since which this proxy may have granted without interruption; null before it does. */
    fun uninterruptedSince(now: MonotonicTime): MonotonicTime? {
        val tenure = tenuredFrom ?: return null
        val pauseEnd = pause?.until?.takeIf { it <= now }
        return listOfNotNull(tenure, renewedAfterLapseAt, pauseEnd).max()
    }

    /** This view after [observed], which was received at [now]; a read older than the latest one changes nothing. */
    fun observe(observed: ObservedFleet, now: MonotonicTime): FleetOwnership {
        val isOld = observed.era < era || observed.era == era && sentAt != null && observed.sentAt < sentAt
        if (isOld) return this
        val present = observed.proxies.filterValues { !it.expelled && !it.leaving }.mapValues { proxy(it.value) }
        val restored = sentAt != null && observed.era > era
        val pausedFrom = sentAt?.plus(leaseDuration)
        return withRegistration(observed, now)
            .copy(
                sentAt = observed.sentAt,
                era = observed.era,
                members = present,
                joining = joining + joined(present.values),
                departing = departing + departed(observed, present, now, restored),
                pause = if (restored && pausedFrom != null) GrantingPause(pausedFrom, now + leaseDuration) else pause,
            ).withChoices(now)
    }

    private fun withRegistration(observed: ObservedFleet, now: MonotonicTime): FleetOwnership {
        val lapsed = leaseFrom != null && now >= leaseFrom + leaseDuration
        val inherits = if (sentAt == null) observed.replacesTenured else inheritsTenure
        return copy(
            registeredAt = if (observed.registered) registeredAt ?: now else null,
            inheritsTenure = inherits && (observed.registered || observed.replacesTenured),
            leaseFrom = if (observed.renews) observed.sentAt else leaseFrom,
            renewedAfterLapseAt = if (observed.renews && lapsed) now else renewedAfterLapseAt,
        )
    }

    /** This view at [now], after the waits that have ended. */
    fun at(now: MonotonicTime): FleetOwnership {
        val ends = joining.values.any { it <= now } || departing.values.any { it <= now }
        val tenureEnds = self !in asked.proxies && self in members.values && isTenured(now)
        return if (ends || tenureEnds) withChoices(now) else this
    }

    private fun holdsLease(now: MonotonicTime): Boolean {
        val from = leaseFrom ?: return false
        return isTenured(now) && now < from + leaseDuration
    }

    // A proxy that registered after the latest read grants a lease duration after that read at the earliest.
    private fun joined(present: Collection<AllowanceProxy>): Map<AllowanceProxy, MonotonicTime> {
        val before = sentAt ?: return emptyMap()
        return (present - members.values.toSet() - self).associateWith { before + leaseDuration }
    }

    // A proxy deletes its own record when it exits and grants nothing then. A record that was replaced by one of
    // another address, or that a restored store has lost, may be that of a proxy that still grants.
    private fun departed(
        observed: ObservedFleet,
        present: Map<FleetKey, AllowanceProxy>,
        now: MonotonicTime,
        restored: Boolean,
    ): Map<AllowanceProxy, MonotonicTime> {
        val expelled =
            observed.proxies
                .filterValues { it.expelled }
                .entries
                .associate { (key, record) -> proxy(record) to (observed.expelledSince[key] ?: now) + leaseDuration }
        val lost =
            members
                .filter { (key, proxy) -> present[key] != proxy && (restored || key in present) }
                .values
                .associateWith { now + leaseDuration }
        return (lost + expelled) - self
    }

    private fun withChoices(now: MonotonicTime): FleetOwnership {
        val stillJoining = joining.filterValues { it > now }
        val stillDeparting = departing.filterValues { it > now }
        val present = members.values.toSet()
        val settled = present - stillJoining.keys
        val nextAsked = if (isTenured(now)) settled else settled - self
        val nextGranting = settled + stillDeparting.keys
        val changes = nextGranting != granting.proxies
        return copy(
            joining = stillJoining,
            departing = stillDeparting,
            asked = if (nextAsked == asked.proxies) asked else OwnerChoice(nextAsked),
            registered = if (present == registered.proxies) registered else OwnerChoice(present),
            granting = if (changes) OwnerChoice(nextGranting) else granting,
            grantingSince = if (changes) now else grantingSince,
        )
    }
}

private fun proxy(record: FleetRecord.Proxy) = AllowanceProxy(record.peerEndpoint, record.failureDomain)

/** A time in which this proxy grants nothing, from [from] until before [until]. */
data class GrantingPause(val from: MonotonicTime, val until: MonotonicTime) {
    operator fun contains(time: MonotonicTime): Boolean = time >= from && time < until
}
