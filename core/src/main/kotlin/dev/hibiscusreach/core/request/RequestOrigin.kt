package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.model.NodeIdentity

/** Where a request came from and where its answer goes. */
sealed interface RequestOrigin {
    /** A caller sent the request to this process. */
    data object Caller : RequestOrigin

    /** [node] forwarded the request and knows it as [arrival]. */
    data class Peer(val node: NodeIdentity, val arrival: ArrivalNumber) : RequestOrigin
}
