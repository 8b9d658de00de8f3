package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.event.LogLevel
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.SessionCounter
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.state.DecayedCount
import dev.hibiscusreach.sessions.state.Ejection
import dev.hibiscusreach.sessions.state.EjectionStatus

/**
 * Ejects servers that fail a large share of this proxy's statements, whatever their health answers say. An ejected
 * server gets no reads that another server can run; after a pause, single reads show whether it may return.
 */
internal object OutlierEjection {
    /** Whether the server gets reads that another server can run. */
    fun status(reduction: Reduction, server: ServerName): EjectionStatus {
        val ejection = ServerLoads.of(reduction, server).ejection
        val isDue = ejection?.probedAt?.let { reduction.now - it >= reduction.settings.selection.probePause } ?: true
        return when {
            ejection == null || ejection.returnedAt != null -> EjectionStatus.Included
            reduction.now < ejection.until -> EjectionStatus.Ejected
            else -> EjectionStatus.Probed(due = isDue && ServerLoads.inFlight(reduction, server) == 0)
        }
    }

    /** Whether the server gets no reads that another server can run, except for probes. */
    fun isEjected(reduction: Reduction, server: ServerName): Boolean =
        status(reduction, server) !is EjectionStatus.Included

    /** Records that a statement is sent to the server; [probe] says whether its answer decides about a return. */
    fun recordSent(reduction: Reduction, server: ServerName, probe: Boolean) {
        if (!probe || status(reduction, server) !is EjectionStatus.Probed) return
        reduction.count(SessionCounter.SERVER_SELECTION, "probed")
        change(reduction, server) { it.copy(probedAt = reduction.now) }
    }

    /** Records an answer that is no failure; [probe] says whether it decides about a return. */
    fun recordSuccess(reduction: Reduction, server: ServerName, probe: Boolean) {
        when (status(reduction, server)) {
            EjectionStatus.Ejected -> Unit
            EjectionStatus.Included ->
                ServerLoads.update(reduction, server) {
                    it.copy(failureShare = it.failureShare * (1 - OUTCOME_WEIGHT))
                }
            is EjectionStatus.Probed -> if (probe) recordProbe(reduction, server)
        }
    }

    /** Records a failed statement, a statement without an answer, or a lost connection. */
    fun recordFailure(reduction: Reduction, server: ServerName) {
        val registered = reduction.state.server(server)
        if (!ServerLoads.apply(reduction) || registered == null) return
        when (status(reduction, server)) {
            EjectionStatus.Ejected -> Unit
            EjectionStatus.Included -> {
                ServerLoads.update(reduction, server) {
                    val halfLife = reduction.settings.selection.failureHalfLife
                    val failures = it.failures.plusOne(reduction.now, halfLife)
                    val share = it.failureShare + (1 - it.failureShare) * OUTCOME_WEIGHT
                    it.copy(failures = failures, failureShare = share)
                }
                if (EjectionRule.applies(reduction, registered)) eject(reduction, registered)
            }
            is EjectionStatus.Probed -> eject(reduction, registered)
        }
    }

    /** Forgets the failures of a server's earlier process. */
    fun restarted(reduction: Reduction, server: ServerName) {
        if (!ServerLoads.apply(reduction)) return
        if (isEjected(reduction, server)) end(reduction, server, reason = "restarted")
        ServerLoads.update(reduction, server) { it.copy(failures = DecayedCount(), failureShare = 0.0) }
    }

    private fun eject(reduction: Reduction, server: RegisteredServer) {
        val ejection = EjectionRule.next(reduction, server.name)
        val failureShare = ServerLoads.of(reduction, server.name).failureShare
        ServerLoads.update(reduction, server.name) {
            it.copy(ejection = ejection, failures = DecayedCount(), failureShare = 0.0)
        }
        reduction.count(SessionCounter.SERVER_SELECTION, "ejected")
        reduction.log(
            "server ejected",
            "server" to server.name,
            "group" to server.group,
            "failedPercent" to (failureShare * FULL_PERCENT).toInt(),
            "ejections" to ejection.count,
            "pauseMillis" to (ejection.until - reduction.now).value,
            level = LogLevel.WARN,
        )
    }

    private fun recordProbe(reduction: Reduction, server: ServerName) {
        val limits = reduction.settings.selection
        change(reduction, server) { it.copy(successes = it.successes + 1) }
        val successes = ServerLoads.of(reduction, server).ejection?.successes ?: 0
        if (successes >= limits.probes) {
            end(reduction, server, reason = "probes succeeded")
            SlowStart.begin(reduction, server)
        }
    }

    private fun end(reduction: Reduction, server: ServerName, reason: String) {
        change(reduction, server) { it.copy(returnedAt = reduction.now) }
        reduction.count(SessionCounter.SERVER_SELECTION, "returned")
        reduction.log(
            "ejected server returned",
            "server" to server,
            "ejections" to ServerLoads.of(reduction, server).ejection?.count,
            "reason" to reason,
        )
    }

    private fun change(reduction: Reduction, server: ServerName, change: (Ejection) -> Ejection) =
        ServerLoads.update(reduction, server) { it.copy(ejection = it.ejection?.let(change)) }

    /** Weight of one outcome in the smoothed share of failures: a server that fails half is found in 7 statements. */
    private const val OUTCOME_WEIGHT = 0.125
}
