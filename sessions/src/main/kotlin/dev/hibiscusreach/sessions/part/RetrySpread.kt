package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.state.Session

/** Spreads the retry advice of refusals, so that callers that were refused together do not return together. */
internal object RetrySpread {
    /** Odd multiplier that scatters consecutive session numbers. */
    private const val SCATTER = -7046029254386353131L
    private const val SCATTER_SHIFT = 33

    /**
     * The advice to retry after [base] or, under overload, after the time that the queue needs if that is longer; it is
     * spread over that time again. Without tenants it is [base].
     */
    fun spread(reduction: Reduction, session: Session, kind: ErrorKind, base: Millis): Millis {
        if (!TenantPools.apply(reduction)) return base
        val group = session.pending?.route?.group?.takeIf { kind == ErrorKind.OVERLOADED }
        val queue = group?.let { AdmissionControl.queueDuration(reduction, it) } ?: base
        val earliest = maxOf(base, minOf(queue, reduction.settings.tenantPools.maxRetryAfter))
        return after(reduction, session.number, earliest)
    }

    /** A time between [earliest] and twice that, another one for each session. */
    fun after(reduction: Reduction, session: SessionNumber, earliest: Millis): Millis {
        val scattered = (session.value + reduction.now.millis) * SCATTER ushr SCATTER_SHIFT
        return earliest + Millis(scattered % maxOf(1, earliest.value))
    }
}
