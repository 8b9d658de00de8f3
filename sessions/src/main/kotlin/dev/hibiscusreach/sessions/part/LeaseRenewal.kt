package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.event.SessionEvent
import dev.hibiscusreach.sessions.event.TimerSubject
import dev.hibiscusreach.sessions.event.WriteOutcome
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.StoredRecord

/**
 * Keeps this proxy registered in the store and renews its lease on the group records. The lease starts at the time at
 * which a read that returns this proxy's own record was sent: a primary change that is recorded later waits until this
 * proxy confirms the fence or its lease expires.
 */
internal object LeaseRenewal {
    /** Restarts the renewal timer and reads the fleet records. */
    fun renew(reduction: Reduction) {
        reduction.emit(SessionEffect.StartTimer(TimerSubject.LEASE, reduction.settings.leases.renewalPeriod))
        read(reduction)
    }

    /** Reads the fleet records. If a read is already in flight, it may miss later writes, so another one follows it. */
    fun read(reduction: Reduction) {
        val fleet = reduction.state.fleet
        if (fleet.reading) {
            reduction.state = reduction.state.copy(fleet = fleet.copy(readAgain = true))
        } else {
            reduction.state = reduction.state.copy(fleet = fleet.copy(reading = true, readAgain = false))
            reduction.emit(SessionEffect.ReadFleet)
        }
    }

    /**
     * Handles a failed read: waiting peers are refused, the records are requested through a peer, and the read is
     * retried after a pause, which is doubled if the previous read failed too.
     */
    fun readFailed(reduction: Reduction, event: SessionEvent.FleetReadFailed) {
        val fleet = reduction.state.fleet
        if (!fleet.storeLost) reduction.log("store lost", "reason" to event.reason, level = LogLevel.WARN)
        reduction.state = reduction.state.copy(fleet = fleet.copy(reading = false, readAgain = false, storeLost = true))
        FleetReadRelay.refuseWaiting(reduction)
        FleetReadRelay.requestRead(reduction)
        val retry = reduction.settings.leases.retryPause
        reduction.emit(SessionEffect.StartTimer(TimerSubject.LEASE, if (fleet.storeLost) retry * 2 else retry))
    }

    /** Handles a completed read: renews the lease if this proxy is registered, or else registers it. */
    fun read(reduction: Reduction, event: SessionEvent.FleetRead) {
        val fleet = reduction.state.fleet
        if (fleet.storeLost) reduction.log("store regained")
        val own = event.records[FleetKey.proxy(reduction.state.self.identity.node)]
        val registered = isRegistered(reduction, event.records)
        if (registered && !fleet.registered) reduction.log("proxy registered", "revision" to own?.revision)
        val promoterChanged = event.records[FleetKey.PROMOTER]?.revision != fleet.records[FleetKey.PROMOTER]?.revision
        reduction.state =
            reduction.state.copy(
                fleet =
                fleet.copy(
                    records = event.records,
                    leaseFrom = if (registered) event.sentAt else fleet.leaseFrom,
                    readAt = reduction.now,
                    registered = registered,
                    reading = false,
                    readAgain = false,
                    storeLost = false,
                    promoterSeenAt = if (promoterChanged) reduction.now else fleet.promoterSeenAt ?: reduction.now,
                    expelledSince = expulsionTimes(reduction, event.records),
                ),
            )
        if (!registered && reduction.state.stoppingSince == null) register(reduction, own)
        adopt(reduction, event.records)
        ChangeFencing.handleMembersRead(reduction, event.sentAt)
        FleetReadRelay.answerWaiting(reduction, event.sentAt)
        if (fleet.readAgain) read(reduction)
    }

    /** Handles the outcome of a write to this proxy's own record or the promoter record. */
    fun written(reduction: Reduction, key: FleetKey, outcome: WriteOutcome) {
        if (outcome is WriteOutcome.Written && key == FleetKey.PROMOTER) {
            val fleet = reduction.state.fleet
            val record = fleet.records[key]?.record ?: FleetRecord.Promoter(holder = null)
            val records = fleet.records + (key to StoredRecord(record, outcome.revision))
            reduction.state = reduction.state.copy(fleet = fleet.copy(records = records))
        } else {
            read(reduction)
        }
    }

    private fun expulsionTimes(
        reduction: Reduction,
        records: Map<FleetKey, StoredRecord>,
    ): Map<FleetKey, MonotonicTime> =
        records
            .filterValues { (it.record as? FleetRecord.Proxy)?.expelled ?: false }
            .mapValues { (key, _) -> reduction.state.fleet.expelledSince[key] ?: reduction.now }

    /** Whether [records] contain this incarnation of the proxy and it is not expelled. */
    fun isRegistered(reduction: Reduction, records: Map<FleetKey, StoredRecord>): Boolean {
        val own = records[FleetKey.proxy(reduction.state.self.identity.node)]?.record as? FleetRecord.Proxy
        return own?.identity == reduction.state.self.identity && !own.expelled
    }

    private fun register(reduction: Reduction, existing: StoredRecord?) {
        val self = reduction.state.self
        val record = FleetRecord.Proxy(self.identity, self.peerEndpoint)
        val key = FleetKey.proxy(self.identity.node)
        reduction.emit(SessionEffect.WriteFleet(key, record, existing?.revision))
    }

    /** Adopts all group records in [records] that are newer than the known ones. */
    fun adopt(reduction: Reduction, records: Map<FleetKey, StoredRecord>) {
        for (stored in records.values) {
            val record = stored.record as? FleetRecord.Group ?: continue
            GroupRecordAdoption.adopt(reduction, GroupName(record.group), record, stored.revision)
        }
    }
}
