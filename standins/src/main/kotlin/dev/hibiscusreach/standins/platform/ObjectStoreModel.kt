package dev.hibiscusreach.standins.platform

import dev.hibiscusreach.core.event.ListedHost
import dev.hibiscusreach.core.event.PlatformAnswer
import dev.hibiscusreach.core.event.PlatformCall

/** Limits and lag of an [ObjectStoreModel]. */
data class ObjectStoreSettings(
    val writesPerSecond: Int = WRITES_PER_SECOND,
    val readsPerSecond: Int = READS_PER_SECOND,
    val maximumValueBytes: Int = MAXIMUM_VALUE_BYTES,
    val hostListLagMillis: Long = 0,
) {
    private companion object {
        const val WRITES_PER_SECOND = 400
        const val READS_PER_SECOND = 2_000
        const val MAXIMUM_VALUE_BYTES = 1_048_576
    }
}

/**
 * The platform's object API and host list without I/O, clock or threads. Times are milliseconds passed in by the
 * caller. Not safe for concurrent use.
 */
class ObjectStoreModel(private val settings: ObjectStoreSettings = ObjectStoreSettings()) {
    private val objects = VersionedObjects()
    private val hosts = LaggingHostList(settings.hostListLagMillis)
    private val watches = WaitingWatches()
    private val writeLimit = RateLimit(settings.writesPerSecond)
    private val readLimit = RateLimit(settings.readsPerSecond)
    private val counts = LinkedHashMap<CallKind, Long>()

    /** If set, every call is refused. */
    var outage: Boolean = false

    /** Added to the time of every answer. */
    var slownessMillis: Long = 0

    /** The number of answers still to be lost after their call was carried out. */
    var answersToLose: Int = 0

    /** Calls received by kind, including refused ones. A watch counts once. */
    val callCounts: Map<CallKind, Long> get() = counts.toMap()

    /** The earliest time at which a waiting watch ends, or null if none waits. */
    val nextWatchDeadline: Long? get() = watches.nextDeadline

    /** Carries out [request]; a watch may be answered later, as [call], by [completedWatches]. */
    fun call(call: Long, request: PlatformCall, now: Long): PlatformReply {
        counts.merge(request.kind(), 1, Long::plus)
        val limit = if (request is PlatformCall.Put) writeLimit else readLimit
        return when {
            outage -> PlatformReply.Unavailable
            !limit.allows(now) -> PlatformReply.RateLimited
            else -> carryOut(call, request, now)
        }
    }

    /** The watches that are answered at [now]. To be asked for after every other call. */
    fun completedWatches(now: Long): List<CompletedWatch> =
        watches.complete(now) { watch, waitIsOver ->
            if (outage) PlatformReply.Unavailable else changed(watch, waitIsOver)?.let(::reply)
        }

    /** Forgets the waiting watch of [call], whose caller has gone. */
    fun cancelWatch(call: Long) = watches.remove(call)

    /** Replaces the host list; visible after the lag. */
    fun setHosts(list: List<ListedHost>, now: Long) = hosts.set(list, now)

    /** Replaces the value of [key] unconditionally, as a restored backup does. */
    fun overwrite(key: String, value: String) = objects.overwrite(key, value)

    private fun carryOut(call: Long, request: PlatformCall, now: Long): PlatformReply =
        when (request) {
            is PlatformCall.Get -> reply(objects.get(request.key))
            is PlatformCall.Put -> reply(put(request))
            is PlatformCall.ListHosts -> reply(PlatformAnswer.Hosts(hosts.at(now)))
            is PlatformCall.Watch -> {
                val answer = changed(request, waitIsOver = request.waitMillis <= 0)
                if (answer == null) watches.add(call, request, now)
                answer?.let(::reply) ?: PlatformReply.Waiting
            }
        }

    private fun put(request: PlatformCall.Put): PlatformAnswer =
        if (request.value.encodeToByteArray().size > settings.maximumValueBytes) {
            PlatformAnswer.Failed("value exceeds ${settings.maximumValueBytes} bytes")
        } else {
            objects.put(request.key, request.value, request.expectedVersion)
        }

    private fun changed(watch: PlatformCall.Watch, waitIsOver: Boolean): PlatformAnswer? =
        when {
            objects.version(watch.key) > watch.afterVersion -> objects.get(watch.key)
            waitIsOver -> PlatformAnswer.Unchanged(watch.key)
            else -> null
        }

    private fun reply(answer: PlatformAnswer): PlatformReply {
        if (answersToLose == 0) return PlatformReply.Answered(answer, slownessMillis)
        answersToLose--
        return PlatformReply.Lost
    }
}

private fun PlatformCall.kind(): CallKind =
    when (this) {
        is PlatformCall.Get -> CallKind.GET
        is PlatformCall.Put -> CallKind.PUT
        is PlatformCall.Watch -> CallKind.WATCH
        is PlatformCall.ListHosts -> CallKind.LIST_HOSTS
    }
