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
 * Keeps this proxy's record in the store and its lease on the group records. A lease begins when a read is sent that
 * shows the own record: a change of primary that is recorded later waits for this proxy's consent or the lease's end.
 */
internal object LeaseRenewal {
    fun renew(turn: Reduction) {
        turn.emit(SessionEffect.StartTimer(TimerSubject.LEASE, turn.settings.leases.renewalPeriod))
        read(turn)
    }

    /** Reads the fleet's records, once more if a read is in flight that may not show the latest. */
    fun read(turn: Reduction) {
        val fleet = turn.state.fleet
        if (fleet.reading) {
            turn.state = turn.state.copy(fleet = fleet.copy(readAgain = true))
        } else {
            turn.state = turn.state.copy(fleet = fleet.copy(reading = true, readAgain = false))
            turn.emit(SessionEffect.ReadFleet)
        }
    }

    fun unreadable(turn: Reduction, event: SessionEvent.FleetReadFailed) {
        val fleet = turn.state.fleet
        if (!fleet.storeLost) turn.log("store lost", "reason" to event.reason, level = LogLevel.WARN)
        turn.state = turn.state.copy(fleet = fleet.copy(reading = false, readAgain = false, storeLost = true))
        FleetReadRelay.refuse(turn)
        FleetReadRelay.ask(turn)
        val retry = turn.settings.leases.retryPause
        turn.emit(SessionEffect.StartTimer(TimerSubject.LEASE, if (fleet.storeLost) retry * 2 else retry))
    }

    fun read(turn: Reduction, event: SessionEvent.FleetRead) {
        val fleet = turn.state.fleet
        if (fleet.storeLost) turn.log("store regained")
        val own = event.records[FleetKey.proxy(turn.state.self.identity.node)]
        val registered = isRegistered(turn, event.records)
        if (registered && !fleet.registered) turn.log("proxy registered", "revision" to own?.revision)
        val promoterMoved = event.records[FleetKey.PROMOTER]?.revision != fleet.records[FleetKey.PROMOTER]?.revision
        turn.state =
            turn.state.copy(
                fleet =
                fleet.copy(
                    records = event.records,
                    leaseFrom = if (registered) event.sentAt else fleet.leaseFrom,
                    readAt = turn.now,
                    registered = registered,
                    reading = false,
                    readAgain = false,
                    storeLost = false,
                    promoterSeenAt = if (promoterMoved) turn.now else fleet.promoterSeenAt ?: turn.now,
                    expelledSince = expelledSince(turn, event.records),
                ),
            )
        if (!registered && turn.state.stoppingSince == null) register(turn, own)
        adopt(turn, event.records)
        ChangeFencing.membersRead(turn, event.sentAt)
        FleetReadRelay.serve(turn, event.sentAt)
        if (fleet.readAgain) read(turn)
    }

    /** Records the outcome of a write to the own record or the promoter's record. */
    fun written(turn: Reduction, key: FleetKey, outcome: WriteOutcome) {
        if (outcome is WriteOutcome.Written && key == FleetKey.PROMOTER) {
            val fleet = turn.state.fleet
            val record = fleet.records[key]?.record ?: FleetRecord.Promoter(holder = null)
            val records = fleet.records + (key to StoredRecord(record, outcome.revision))
            turn.state = turn.state.copy(fleet = fleet.copy(records = records))
        } else {
            read(turn)
        }
    }

    private fun expelledSince(turn: Reduction, records: Map<FleetKey, StoredRecord>): Map<FleetKey, MonotonicTime> =
        records
            .filterValues { (it.record as? FleetRecord.Proxy)?.expelled ?: false }
            .mapValues { (key, _) -> turn.state.fleet.expelledSince[key] ?: turn.now }

    /** Whether [records] show that this run of the proxy may use primaries. */
    fun isRegistered(turn: Reduction, records: Map<FleetKey, StoredRecord>): Boolean {
        val own = records[FleetKey.proxy(turn.state.self.identity.node)]?.record as? FleetRecord.Proxy
        return own?.identity == turn.state.self.identity && !own.expelled
    }

    private fun register(turn: Reduction, present: StoredRecord?) {
        val place = turn.state.self
        val record = FleetRecord.Proxy(place.identity, place.peerEndpoint)
        val key = FleetKey.proxy(place.identity.node)
        turn.emit(SessionEffect.WriteFleet(key, record, present?.revision))
    }

    /** Takes the groups' records over. */
    fun adopt(turn: Reduction, records: Map<FleetKey, StoredRecord>) {
        for (stored in records.values) {
            val record = stored.record as? FleetRecord.Group ?: continue
            GroupRecordAdoption.adopt(turn, GroupName(record.group), record, stored.revision)
        }
    }
}
