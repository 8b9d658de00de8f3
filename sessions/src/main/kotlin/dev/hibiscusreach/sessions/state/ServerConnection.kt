package dev.hibiscusreach.sessions.state

import dev.hibiscusreach.core.event.ConnectionNumber
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.sessions.event.SessionNumber
import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.model.PreparedStatement
import dev.hibiscusreach.sessions.tenant.TenantName
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/** A pooled connection to a server. */
data class ServerConnection(
    val number: ConnectionNumber,
    val server: ServerName,
    val group: GroupName,
    /** The tenant whose statements the connection carries; null if they have none. */
    val tenant: TenantName? = null,
    val open: Boolean = false,
    /** The session whose statement or transaction holds the connection. */
    val heldBy: SessionNumber? = null,
    val values: PersistentMap<String, String> = persistentMapOf(),
    val prepared: PersistentSet<PreparedStatement> = persistentSetOf(),
    /** Bytes of [prepared]. */
    val preparedBytes: Int = 0,
    /** When a statement was last sent, or the connection was opened. */
    val usedAt: MonotonicTime? = null,
    /** When a session of a tenant last got the connection; null if none has. */
    val checkedOutAt: MonotonicTime? = null,
    /** The time between the latest two sessions of a tenant that got the connection; null before the second one. */
    val checkoutInterval: Millis? = null,
    /** When a statement that could use the connection last had to take another token first. */
    val renewedAt: MonotonicTime? = null,
    /** Statements without an answer, oldest first. */
    val outstanding: PersistentList<OutstandingStatement> = persistentListOf(),
) {
    /** Whether the connection is available to any session. */
    val idle: Boolean get() = open && heldBy == null && outstanding.isEmpty()
}

/** A statement that a server has not answered yet. */
data class OutstandingStatement(
    val purpose: Purpose,
    val sentAt: MonotonicTime,
    /** Whether the server was the primary under a valid lease when the statement was sent. */
    val toPrimary: Boolean,
) {
    /** Why the statement was sent. */
    enum class Purpose { SETUP, BEGIN, CALLER, ROLLBACK, PROBE }
}

/** Health of a server as observed by this proxy. */
data class ServerHealth(
    val answeredAt: MonotonicTime? = null,
    /** When a request was first sent after the latest answer; null if all requests since then are answered. */
    val silentSince: MonotonicTime? = null,
    /** When it was last asked for its status because it was silent. */
    val probedAt: MonotonicTime? = null,
    /** Smoothed duration of its successful statements. */
    val latency: Millis? = null,
    /** No new connection before this time. */
    val connectAfter: MonotonicTime? = null,
    /** Current backoff after failed connections. */
    val connectPause: Millis? = null,
    /** When its host last refused a connection. */
    val refusedAt: MonotonicTime? = null,
    /** No reads that need a minimum position are sent before this time. */
    val behindUntil: MonotonicTime? = null,
    /** When it last reported that it is not the primary. */
    val notPrimaryAt: MonotonicTime? = null,
    /** When it is next told to step down; null unless its entry reports the primary role after it was replaced. */
    val stepDownDue: MonotonicTime? = null,
    /** The term that it leads, as it answered when it was told to step down; null if it did not, or follows again. */
    val leadsTerm: Term? = null,
)
