package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.event.AttemptNumber
import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term

/** What a request waits for. */
sealed interface RequestPhase {
    /** The request has just been taken and is not routed yet. */
    data object Arrived : RequestPhase

    /** No replica is known to be fresh enough; the request goes to the primary when the wait ends. */
    data object AwaitingReplica : RequestPhase

    /** The primary is unknown or [rejected] the request, which is routed again until [until]. */
    data class AwaitingPrimary(
        val until: MonotonicTime,
        val rejected: PrimaryView?,
        /** Whether the same primary is worth another try after a pause. */
        val retriesSame: Boolean,
    ) : RequestPhase

    /** A phase that belongs to one attempt at one server. */
    sealed interface Attempted : RequestPhase {
        /** The attempt that answers are matched to. */
        val attempt: AttemptNumber

        /** The server of the attempt. */
        val server: ServerName
    }

    /** A connection was asked for. Nothing was sent. */
    data class Connecting(override val attempt: AttemptNumber, override val server: ServerName) : Attempted

    /** A command was sent and not answered yet. */
    data class Sent(
        override val attempt: AttemptNumber,
        override val server: ServerName,
        val connection: ConnectionNumber,
        val term: Term,
        val sentAt: MonotonicTime,
    ) : Attempted

    /** The server answered; the answer is delivered after the outstanding checks. */
    data class Verifying(
        override val attempt: AttemptNumber,
        override val server: ServerName,
        val answer: SessionAnswer,
        val sentAt: MonotonicTime,
        val durable: Boolean = false,
        val leadershipConfirmed: Boolean = false,
    ) : Attempted

    /** [peer] carries the request out under [number]. */
    data class Forwarded(val number: ArrivalNumber, val peer: NodeIdentity) : RequestPhase
}

/** The primary of a term, as it was known when a request was sent to it. */
data class PrimaryView(val term: Term, val server: ServerName)
