package dev.hibiscusreach.standins.platform

import dev.hibiscusreach.core.event.PlatformCall

/** Watches that wait for a change. */
internal class WaitingWatches {
    private class Waiting(val watch: PlatformCall.Watch, val deadline: Long)

    private val waiting = LinkedHashMap<Long, Waiting>()

    /** The earliest time at which a wait ends, or null if nothing waits. */
    val nextDeadline: Long? get() = waiting.values.minOfOrNull { it.deadline }

    /** Keeps [watch] until it can be answered. */
    fun add(call: Long, watch: PlatformCall.Watch, now: Long) {
        waiting[call] = Waiting(watch, now + watch.waitMillis)
    }

    /** Forgets the watch of [call], whose caller has gone. */
    fun remove(call: Long) {
        waiting.remove(call)
    }

    /** Removes and returns what [decide] answers; its second argument says whether the wait is over. */
    fun complete(now: Long, decide: (PlatformCall.Watch, Boolean) -> PlatformReply?): List<CompletedWatch> {
        val completed =
            waiting.mapNotNull { (call, entry) ->
                decide(entry.watch, now >= entry.deadline)?.let { CompletedWatch(call, it) }
            }
        completed.forEach { waiting.remove(it.call) }
        return completed
    }
}
