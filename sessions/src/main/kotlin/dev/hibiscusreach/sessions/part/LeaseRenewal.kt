package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.WriteOutcome
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.StoredRecord
import dev.hibiscusreach.sessions.state.FleetRecords

/**
 * Keeps this proxy registered in the store and renews its lease on the group records. The lease starts at the time at
 * which a read that returns this proxy's own record was sent: a primary change that is recorded later waits until this
 * proxy confirms the fence or its lease expires.
 */
internal object LeaseRenewal {
    /**
     * Reads the fleet records from the store itself. If a read is already in flight, it may miss later writes, so
     * another one follows it.
     */
    fun read(reduction: Reduction) {
        val fleet = reduction.state.fleet
        if (fleet.reading) {
            reduction.state = reduction.state.copy(fleet = fleet.copy(readAgain = true))
        } else {
            reduction.state = reduction.state.copy(fleet = fleet.copy(reading = true, readAgain = false))
            reduction.emit(SessionEffect.ReadFleet)
        }
    }

    /** Handles a failed read: waiting peers are refused, and another source of reads is selected. */
    fun readFailed(reduction: Reduction, event: SessionEvent.FleetReadFailed) {
        val fleet = reduction.state.fleet
        if (!fleet.storeLost) reduction.log("store lost", "reason" to event.reason, level = LogLevel.WARN)
        reduction.state = reduction.state.copy(fleet = fleet.copy(reading = false, readAgain = false, storeLost = true))
        FleetReadRelay.refuseWaiting(reduction)
        StoreSources.readFailed(reduction)
    }

    /** Handles a completed read: renews the lease if this proxy is registered, or else registers it. */
    fun read(reduction: Reduction, event: SessionEvent.FleetRead) {
        StoreEras.observe(reduction, event.era)
        val fleet = reduction.state.fleet
        if (fleet.storeLost) reduction.log("store regained")
        val own = event.records[FleetKey.proxy(reduction.state.self.identity.node)]
        val registered = isRegistered(reduction, event.records)
        // A record from before a restoration may be an old one, whose groups are not those that this proxy uses.
        val renews = registered && (own?.record as? FleetRecord.Proxy)?.era == event.era
        val isUnbroken = PrimaryStatus.leaseIsValid(reduction)
        if (registered && !fleet.registered) reduction.log("proxy registered", "revision" to own?.revision)
        val promoterChanged = event.records[FleetKey.PROMOTER]?.revision != fleet.records[FleetKey.PROMOTER]?.revision
        reduction.state =
            reduction.state.copy(
                fleet =
                fleet.copy(
                    records = fleet.records.updated(event.records),
                    leaseFrom = if (renews) latest(event.sentAt, fleet.leaseFrom) else fleet.leaseFrom,
                    leaseValidSince = if (isUnbroken || !renews) fleet.leaseValidSince else reduction.now,
                    readAt = reduction.now,
                    readSentAt = latest(event.sentAt, fleet.readSentAt),
                    registered = registered,
                    reading = false,
                    readAgain = false,
                    storeLost = false,
                    promoterSeenAt = if (promoterChanged) reduction.now else fleet.promoterSeenAt ?: reduction.now,
                    expelledSince = expulsionTimes(reduction, event.records),
                ),
            )
        AllowanceOwnership.observe(reduction, event, renews)
        if (!registered && reduction.state.stoppingSince == null) register(reduction, own)
        if (reduction.state.fleet.records !== fleet.records) adopt(reduction, event.records)
        HomeAssignment.review(reduction)
        ChangeFencing.handleMembersRead(reduction, event.sentAt)
        FleetReadRelay.answerWaiting(reduction, event.sentAt)
        StoreSources.readSucceeded(reduction)
        if (fleet.readAgain) read(reduction)
    }

    /** Handles the outcome of a write to this proxy's own record or the promoter record. */
    fun written(reduction: Reduction, event: SessionEvent.FleetWritten) {
        val outcome = event.outcome
        if (outcome is WriteOutcome.Written && event.key == FleetKey.PROMOTER) {
            val fleet = reduction.state.fleet
            val record = event.record ?: fleet.records[event.key]?.record ?: FleetRecord.Promoter(holder = null)
            val records = fleet.records + (event.key to StoredRecord(record, outcome.revision))
            reduction.state = reduction.state.copy(fleet = fleet.copy(records = FleetRecords(records)))
        } else {
            HomeAssignment.recordWritten(reduction)
            read(reduction)
        }
    }

    // A read through a peer may be older than the latest direct one.
    private fun latest(sentAt: MonotonicTime, known: MonotonicTime?) = maxOf(sentAt, known ?: sentAt)

    // Between two expulsions a proxy may have registered again and have got a new lease, also if no read has shown it.
    private fun expulsionTimes(
        reduction: Reduction,
        records: Map<FleetKey, StoredRecord>,
    ): Map<FleetKey, MonotonicTime> {
        val fleet = reduction.state.fleet
        return records
            .filterValues { (it.record as? FleetRecord.Proxy)?.expelled ?: false }
            .mapValues { (key, stored) ->
                fleet.expelledSince[key]?.takeIf { fleet.records[key]?.revision == stored.revision } ?: reduction.now
            }
    }

    /** Whether [records] contain this incarnation of the proxy and it is not expelled. */
    fun isRegistered(reduction: Reduction, records: Map<FleetKey, StoredRecord>): Boolean {
        val own = records[FleetKey.proxy(reduction.state.self.identity.node)]?.record as? FleetRecord.Proxy
        return own?.identity == reduction.state.self.identity && !own.expelled
    }

    private fun register(reduction: Reduction, existing: StoredRecord?) {
        val key = FleetKey.proxy(reduction.state.self.identity.node)
        reduction.emit(SessionEffect.WriteFleet(key, HomeAssignment.initialRecord(reduction), existing?.revision))
    }

    /** Adopts all group records in [records] that are newer than the known ones. */
    fun adopt(reduction: Reduction, records: Map<FleetKey, StoredRecord>) {
        for (stored in records.values) {
            val record = stored.record as? FleetRecord.Group ?: continue
            GroupRecordAdoption.adopt(reduction, GroupName(record.group), record, stored.revision)
        }
    }
}
