package dev.hibiscusreach.standins.database

/** Assigns work to a fixed number of slots in the order of arrival. */
class SlotSchedule(slots: Int) {
    private val freeAt = LongArray(slots)

    /** Number of slots that are in use at [now]. */
    fun busy(now: Long): Int = freeAt.count { it > now }

    /** Takes the slot that is free first for [duration]; returns the time at which the work is done. */
    fun reserve(now: Long, duration: Long): Long {
        val slot = freeAt.indices.minBy { freeAt[it] }
        val end = maxOf(now, freeAt[slot]) + duration
        freeAt[slot] = end
        return end
    }
}
