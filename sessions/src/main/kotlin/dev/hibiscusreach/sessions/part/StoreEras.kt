package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.FleetKey
import dev.hibiscusreach.sessions.model.FleetRecord
import dev.hibiscusreach.sessions.state.StoreEra

/**
 * Follows the eras of the store. A restored store lacks the latest records, so its records do not tell which proxies
 * hold leases of the earlier era. Such leases begin before the restoration and expire one lease duration after it at
 * the latest; until then, the era is not settled and no server is promoted.
 */
internal object StoreEras {
    /** A change of primary in a later era has a higher epoch than every one before. */
    private const val EPOCHS_PER_ERA = 1_000_000L

    /** Takes note of the era in which the records were read, and ends this proxy's changes of primary in a new one. */
    fun observe(reduction: Reduction, number: Long) {
        val fleet = reduction.state.fleet
        val known = fleet.era
        if (known != null && number <= known.number) return
        val roles = fleet.roles.copy(writtenAt = null)
        reduction.state =
            reduction.state.copy(fleet = fleet.copy(era = StoreEra(number, reduction.now), roles = roles))
        if (known == null) return
        reduction.log("store restored", "era" to number, "before" to known.number, level = LogLevel.WARN)
        reduction.count(SessionCounter.STORE_RESTORATIONS, "observed")
        // The record that declares a change may be lost. It is written back before the change goes on.
        for (group in reduction.state.groups.values.filter { it.change != null }) {
            reduction.log("primary change interrupted", "group" to group.name, "phase" to group.change?.phase?.name)
            reduction.put(group.copy(change = null, suspicion = null))
        }
    }

    /** Number of the current era; 0 before the first read, and for a store that does not name it. */
    fun current(reduction: Reduction): Long = reduction.state.fleet.era?.number ?: 0

    /** Whether no lease of an earlier era can be valid any more. */
    fun isSettled(reduction: Reduction): Boolean = remainingWait(reduction).value == 0L

    /** The time until no lease of an earlier era can be valid any more. */
    fun remainingWait(reduction: Reduction): Millis {
        val era = reduction.state.fleet.era
        if (era == null || era.number == 0L || isRecordedAsSettled(reduction)) return Millis(0)
        return maxOf(Millis(0), era.since + reduction.settings.leases.duration - reduction.now)
    }

    /** The epoch of a change that follows [epoch]. */
    fun nextEpoch(reduction: Reduction, epoch: Long): Long =
        maxOf(epoch + 1, current(reduction) * EPOCHS_PER_ERA)

    /** Records that the era is settled, so that proxies which start later do not wait. One proxy does so. */
    fun review(reduction: Reduction) {
        val fleet = reduction.state.fleet
        val era = fleet.era?.takeIf { it.number > 0 && !fleet.storeLost } ?: return
        val lastWrite = era.recordWrittenAt
        val paused = lastWrite != null && reduction.now - lastWrite < reduction.settings.leases.eraRecordPause
        val isNeeded = isSettled(reduction) && !isRecordedAsSettled(reduction)
        if (isNeeded && !paused && ProxyExpulsion.isFirstMember(reduction)) writeRecord(reduction, era)
    }

    private fun writeRecord(reduction: Reduction, era: StoreEra) {
        val fleet = reduction.state.fleet
        reduction.state = reduction.state.copy(fleet = fleet.copy(era = era.copy(recordWrittenAt = reduction.now)))
        val revision = fleet.records[FleetKey.SETTLED_ERA]?.revision
        reduction.emit(SessionEffect.WriteFleet(FleetKey.SETTLED_ERA, FleetRecord.SettledEra(era.number), revision))
    }

    private fun isRecordedAsSettled(reduction: Reduction): Boolean {
        val record = reduction.state.fleet.records[FleetKey.SETTLED_ERA]?.record
        return (record as? FleetRecord.SettledEra)?.era == current(reduction)
    }
}
