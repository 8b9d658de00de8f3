package dev.hibiscusreach.sessions.simulation

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.sessions.ProxyFixture
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.model.ServerStatus

/** The servers of one group. A promotion takes effect after a delay; the old primary continues until it is demoted. */
internal class SimulatedServers {
    private val roles = ProxyFixture.SERVERS.associate { it.name to it.role }.toMutableMap()
    private val terms = ProxyFixture.SERVERS.associate { it.name to 1L }.toMutableMap()
    private val logs = ProxyFixture.SERVERS.associate { it.name to 1L }.toMutableMap()
    val down = mutableSetOf<ServerName>()

    /** The server of the latest promotion that took effect. */
    var leader: ServerName = ProxyFixture.PRIMARY
        private set

    fun registered(): Map<ServerName, RegisteredServer> =
        ProxyFixture.SERVERS
            .filter { it.name !in down }
            .associate { it.name to it.copy(role = roles.getValue(it.name)) }

    fun status(name: ServerName): ServerStatus? {
        if (name in down) return null
        val term = Term(terms.getValue(name))
        return ServerStatus(roles.getValue(name), term, Position(term, logs.getValue(name)))
    }

    fun isPrimary(name: ServerName): Boolean = name !in down && roles.getValue(name) == ServerRole.PRIMARY

    /** Appends to the log of a primary; replicas that run receive it at once. */
    fun write(name: ServerName) {
        logs[name] = logs.getValue(name) + 1
        if (name == leader) logs.keys.filter { it !in down }.forEach { logs[it] = logs.getValue(name) }
    }

    fun promote(name: ServerName) {
        if (name in down || name == leader && isPrimary(name)) return
        val term = terms.values.max() + 1
        roles[name] = ServerRole.PRIMARY
        terms[name] = term
        leader = name
    }

    fun stepDown(name: ServerName, term: Long) {
        if (name in down || terms.getValue(name) >= term) return
        roles[name] = ServerRole.REPLICA
        terms[name] = term
    }

    /** Starts a server that was down; it is a replica if another server leads. */
    fun start(name: ServerName) {
        down -= name
        if (name != leader) {
            roles[name] = ServerRole.REPLICA
            terms[name] = terms.getValue(leader)
        }
    }
}
