package dev.hibiscusreach.standins.platform

import dev.hibiscusreach.core.event.PlatformAnswer

/** What the caller of the platform sees of its call. */
sealed interface PlatformReply {
    /** [answer] arrives after [delayMillis]. */
    data class Answered(val answer: PlatformAnswer, val delayMillis: Long) : PlatformReply

    /** The call was carried out and its answer is lost. */
    data object Lost : PlatformReply

    /** The watch waits; [ObjectStoreModel.completedWatches] returns its reply. */
    data object Waiting : PlatformReply

    /** The platform is in an outage. Nothing changed. */
    data object Unavailable : PlatformReply

    /** The call exceeds the rate limit. Nothing changed. */
    data object RateLimited : PlatformReply
}

/** The reply to the watch that was passed in as [call]. */
data class CompletedWatch(val call: Long, val reply: PlatformReply)

/** Kinds of calls that the platform counts. */
enum class CallKind { GET, PUT, WATCH, LIST_HOSTS }
