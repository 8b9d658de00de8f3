package dev.hibiscusreach.sessions.simulation

import dev.hibiscusreach.core.model.ServerName

/** Checks what callers are told against the logs of [servers], and collects the [violations]. */
internal class StatementChecks(private val servers: SimulatedServers) {
    private val acknowledged = mutableListOf<Long>()
    private val acknowledgedBefore = HashMap<String, Int>()
    private var highestToken = 0L
    val violations = mutableListOf<String>()

    /** A caller sends the statement [identifier]. */
    fun sent(identifier: String) {
        acknowledgedBefore[identifier] = acknowledged.size
    }

    /** A read that needs every acknowledged commit runs at [server]. */
    fun readRuns(identifier: String, server: ServerName, description: String) {
        if (servers.sharesLeadersLog(server)) return
        val needed = acknowledged.take(acknowledgedBefore.getValue(identifier))
        val lacking = servers.lacking(server, needed)
        if (lacking.isNotEmpty()) violations += "old read: $description at $server lacks ${lacking.size} commits"
    }

    /** A caller is told that [commit] took effect. */
    fun writeAcknowledged(commit: Long, description: String) {
        acknowledged += commit
        val isLost = servers.lacking(servers.leader, listOf(commit)).isNotEmpty()
        if (isLost) violations += "write at a replaced primary: $description, ${servers.leader} leads"
    }

    /** Another server leads. */
    fun promoted(description: String) {
        val lacking = servers.lacking(servers.leader, acknowledged)
        if (lacking.isNotEmpty()) violations += "lost commits: $description lacks ${lacking.size}"
    }

    /** A promotion is requested. */
    fun promotionRequested(token: Long, description: String) {
        if (token <= highestToken) violations += "token used again: $description, $token after $highestToken"
        highestToken = maxOf(highestToken, token)
    }
}
