package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.event.ArrivalNumber
import dev.hibiscusreach.core.model.NodeIdentity

/** The sender of a request, which gets its answer. */
sealed interface RequestOrigin {
    /** A caller sent the request to this process. */
    data object Caller : RequestOrigin

    /** [node] forwarded the request under the number [arrival]. */
    data class Peer(val node: NodeIdentity, val arrival: ArrivalNumber) : RequestOrigin
}
