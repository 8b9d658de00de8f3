package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.DrainPhase

/** The requests in flight, open transactions, retry budgets and the graceful shutdown. */
data class RequestsState(
    val drainPhase: DrainPhase = DrainPhase.SERVING,
)
