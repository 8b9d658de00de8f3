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
internal object Leases {
    fun renew(turn: Turn) {
        turn.emit(SessionEffect.StartTimer(TimerSubject.LEASE, turn.settings.leases.renewal))
        read(turn)
    }

    /** Reads the fleet's records, once more if a read is in flight that may not show the latest. */
    fun read(turn: Turn) {
        val fleet = turn.state.fleet
        if (fleet.reading) {
            turn.state = turn.state.copy(fleet = fleet.copy(readAgain = true))
        } else {
            turn.state = turn.state.copy(fleet = fleet.copy(reading = true, readAgain = false))
            turn.emit(SessionEffect.ReadFleet)
        }
    }

    fun unreadable(turn: Turn, event: SessionEvent.FleetUnreadable) {
        val fleet = turn.state.fleet
        if (!fleet.lost) turn.log("store lost", "reason" to event.reason, level = LogLevel.WARN)
        turn.state = turn.state.copy(fleet = fleet.copy(reading = false, readAgain = false, lost = true))
        Relays.refuse(turn)
        Relays.ask(turn)
        val retry = turn.settings.leases.retry
        turn.emit(SessionEffect.StartTimer(TimerSubject.LEASE, if (fleet.lost) retry * 2 else retry))
    }

    fun read(turn: Turn, event: SessionEvent.FleetRead) {
        val fleet = turn.state.fleet
        if (fleet.lost) turn.log("store regained")
        val own = event.records[FleetKey.proxy(turn.state.place.identity.node)]
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
                    lost = false,
                    promoterSeenAt = if (promoterMoved) turn.now else fleet.promoterSeenAt ?: turn.now,
                    expelledSince = expelledSince(turn, event.records),
                ),
            )
        if (!registered && turn.state.stoppingSince == null) register(turn, own)
        adopt(turn, event.records)
        ChangeFencing.membersRead(turn, event.sentAt)
        Relays.serve(turn, event.sentAt)
        if (fleet.readAgain) read(turn)
    }

    /** Records the outcome of a write to the own record or the promoter's record. */
    fun written(turn: Turn, key: FleetKey, outcome: WriteOutcome) {
        if (outcome is WriteOutcome.Written && key == FleetKey.PROMOTER) {
            val fleet = turn.state.fleet
            val record = fleet.records[key]?.record ?: FleetRecord.Promoter(holder = null)
            val records = fleet.records + (key to StoredRecord(record, outcome.revision))
            turn.state = turn.state.copy(fleet = fleet.copy(records = records))
        } else {
            read(turn)
        }
    }

    private fun expelledSince(turn: Turn, records: Map<FleetKey, StoredRecord>): Map<FleetKey, MonotonicTime> =
        records
            .filterValues { (it.record as? FleetRecord.Proxy)?.expelled ?: false }
            .mapValues { (key, _) -> turn.state.fleet.expelledSince[key] ?: turn.now }

    /** Whether [records] show that this run of the proxy may use primaries. */
    fun isRegistered(turn: Turn, records: Map<FleetKey, StoredRecord>): Boolean {
        val own = records[FleetKey.proxy(turn.state.place.identity.node)]?.record as? FleetRecord.Proxy
        return own?.identity == turn.state.place.identity && !own.expelled
    }

    private fun register(turn: Turn, present: StoredRecord?) {
        val place = turn.state.place
        val record = FleetRecord.Proxy(place.identity, place.peerEndpoint)
        val key = FleetKey.proxy(place.identity.node)
        turn.emit(SessionEffect.WriteFleet(key, record, present?.revision))
    }

    /** Takes the groups' records over. */
    fun adopt(turn: Turn, records: Map<FleetKey, StoredRecord>) {
        for (stored in records.values) {
            val record = stored.record as? FleetRecord.Group ?: continue
            GroupRecords.adopt(turn, GroupName(record.group), record, stored.revision)
        }
    }
}
