package dev.hibiscusreach.core.request

import dev.hibiscusreach.core.model.BackendServer
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.ErrorKind
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.reducer.DatabaseHomes

/** Forwards [request] to a peer, requests a connection to a server, or waits for a usable server. */
internal fun StepBuilder.route(request: PendingRequest) {
    val group = configurationIndex.group(request.database)
    val operation = request.operation
    when {
        group == null -> refuse(request, ErrorKind.UNKNOWN_DATABASE, "the database was removed from the inventory")
        operation is Operation.InTransaction -> routeToOwner(request, operation)
        else -> routeByHome(request, group)
    }
}

private fun StepBuilder.routeByHome(request: PendingRequest, group: DatabaseGroup) {
    val home = if (fleet.isHome(group)) null else nearestOtherHome(request, group)
    val operation = request.operation
    when {
        home != null -> forward(request, home)
        operation is Operation.Read -> routeRead(request, operation, group)
        else -> routeToPrimary(request, group)
    }
}

/** The nearest home of [group] that the request can be forwarded to; null if this process has to serve it. */
private fun StepBuilder.nearestOtherHome(request: PendingRequest, group: DatabaseGroup): NodeIdentity? =
    DatabaseHomes
        .domains(group)
        .sortedBy { distance(it) }
        .mapNotNull { fleet.home(group, it) }
        .firstOrNull { canForward(request, it) }

private fun StepBuilder.routeRead(request: PendingRequest, read: Operation.Read, group: DatabaseGroup) {
    val choice = chooseReadServer(request, read, group)
    when {
        choice is ReadChoice.Chosen -> routeToServer(request, choice.candidate.server, group)
        choice is ReadChoice.PrimaryOnly || request.replicaWaitOver -> routeToPrimary(request, group)
        request.phase !is RequestPhase.AwaitingReplica -> awaitReplica(request)
    }
}

private fun StepBuilder.routeToPrimary(request: PendingRequest, group: DatabaseGroup) {
    val primary = group(group.name).primary?.let { group.server(it) }
    if (primary == null) {
        awaitPrimary(request, rejected = null)
    } else {
        routeToServer(request, primary, group)
    }
}

private fun StepBuilder.routeToServer(request: PendingRequest, server: BackendServer, group: DatabaseGroup) {
    val home =
        fleet
            .home(group, server.failureDomain)
            ?.takeIf { server.failureDomain != settings.failureDomain && canForward(request, it) }
    if (home == null) requestConnection(request, server.name) else forward(request, home)
}
