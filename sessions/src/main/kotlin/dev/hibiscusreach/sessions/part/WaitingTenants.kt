package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.sessions.model.GroupName
import dev.hibiscusreach.sessions.state.PendingStatement
import dev.hibiscusreach.sessions.state.Session
import dev.hibiscusreach.sessions.tenant.TenantName

/** The numbers of statements that wait for connections in one group, by tenant and by whether they need the primary. */
internal class WaitingTenants(
    reduction: Reduction,
    group: GroupName,
    /** Whether no tenant may exceed its share while another one waits. */
    val appliesShares: Boolean = false,
) {
    private val writers = HashMap<TenantName?, Int>()
    private val readers = HashMap<TenantName?, Int>()

    /** Whether a statement got no connection because its tenant would have exceeded its share. */
    var heldBack = false

    init {
        reduction.state.waiting[group]
            .orEmpty()
            .mapNotNull { reduction.session(it) }
            .forEach { session -> session.pending?.let { counts(session, it).merge(it.tenant, 1, Int::plus) } }
    }

    /** The statements that only the primary can run. */
    val needingPrimary: Map<TenantName?, Int> get() = writers

    /** The statements that replicas can run as well. */
    val reading: Map<TenantName?, Int> get() = readers

    /** The statements that the primary, or a replica, can run. */
    fun at(primary: Boolean): Map<TenantName?, Int> =
        if (primary) (writers.keys + readers.keys).associateWith { count(it, primary = true) } else readers

    /** The number of statements of [tenant] that the primary, or a replica, can run. */
    fun count(tenant: TenantName?, primary: Boolean): Int =
        (readers[tenant] ?: 0) + if (primary) writers[tenant] ?: 0 else 0

    /** Whether other tenants than [tenant] wait. */
    fun hasOthers(tenant: TenantName?): Boolean = (writers.keys + readers.keys).any { it != tenant }

    /** Removes a statement that waits no longer. */
    fun remove(session: Session, pending: PendingStatement) {
        counts(session, pending).computeIfPresent(pending.tenant) { _, count -> (count - 1).takeIf { it > 0 } }
    }

    private fun counts(session: Session, pending: PendingStatement) =
        if (ServerSelection.needsPrimary(session, pending)) writers else readers
}
