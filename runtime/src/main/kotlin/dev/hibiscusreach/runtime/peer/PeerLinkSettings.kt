package dev.hibiscusreach.runtime.peer

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.seconds

/** Limits and timing of the links between proxies. */
data class PeerLinkSettings(
    val connectTimeout: Millis = 2.seconds,
    val handshakeTimeout: Millis = 2.seconds,
    /** Maximum number of bytes queued for sending on one link; a link with more counts as broken. */
    val maximumQueuedBytes: Int = MAXIMUM_QUEUED_BYTES,
    /** Maximum number of links accepted from other processes at a time. */
    val maximumAcceptedLinks: Int = 4_096,
    /** How often links are checked. */
    val checkPeriod: Millis = 1.seconds,
    /** A link on which nothing arrives for this long after something was sent counts as broken. */
    val silenceLimit: Millis = 4.seconds,
    /** A link without messages is closed after this time. */
    val idleLimit: Millis = 60.seconds,
) {
    private companion object {
        const val MAXIMUM_QUEUED_BYTES = 4 * 1024 * 1024
    }
}

/** Receives the number of bytes that links send and receive. */
interface PeerTraffic {
    /** A frame of [bytes] was sent to a process in [domain]. */
    fun sent(domain: String, bytes: Int) = Unit

    /** A frame of [bytes] was received from a process in [domain]. */
    fun received(domain: String, bytes: Int) = Unit
}
