package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.model.BackendServer
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.DatabaseHomes

/** Sends [request] on its way: to the home of its database, to a server, or into a wait. */
internal fun Turn.route(request: PendingRequest) {
    val group = index.group(request.database)
    val work = request.work
    when {
        group == null -> refuse(request, ErrorKind.UNKNOWN_DATABASE, "the database was removed from the inventory")
        work is Work.InTransaction -> routeToOwner(request, work)
        else -> routeByHome(request, group)
    }
}

private fun Turn.routeByHome(request: PendingRequest, group: DatabaseGroup) {
    val home = nearestOtherHome(request, group)
    val work = request.work
    when {
        home != null && !fleet.isHome(group) -> forward(request, home)
        work is Work.Read -> routeRead(request, work, group)
        else -> routeToPrimary(request, group)
    }
}

/** The nearest home of [group] that can still be asked, or null if this process has to serve the request itself. */
private fun Turn.nearestOtherHome(request: PendingRequest, group: DatabaseGroup): NodeIdentity? =
    DatabaseHomes
        .domains(group)
        .sortedBy { distance(it) }
        .mapNotNull { fleet.home(group, it) }
        .firstOrNull { canForward(request, it) }

private fun Turn.routeRead(request: PendingRequest, read: Work.Read, group: DatabaseGroup) {
    val choice = chooseForRead(request, read, group)
    when {
        choice is ReadChoice.Chosen -> routeToServer(request, choice.candidate.server, group)
        request.replicaWaitOver || read.maximumAge.value == 0L -> routeToPrimary(request, group)
        request.phase !is RequestPhase.AwaitingReplica -> awaitReplica(request)
    }
}

private fun Turn.routeToPrimary(request: PendingRequest, group: DatabaseGroup) {
    val primary = group(group.name).primary?.let { group.server(it) }
    if (primary == null) {
        awaitPrimary(request, rejected = null)
    } else {
        routeToServer(request, primary, group)
    }
}

private fun Turn.routeToServer(request: PendingRequest, server: BackendServer, group: DatabaseGroup) {
    val home =
        fleet
            .home(group, server.failureDomain)
            ?.takeIf { server.failureDomain != settings.failureDomain && canForward(request, it) }
    if (home == null) connect(request, server.name) else forward(request, home)
}
