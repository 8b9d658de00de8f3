package dev.hibiscusreach.sessions.simulation

import dev.hibiscusreach.core.event.ServerRole
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.sessions.ProxyFixture
import dev.hibiscusreach.sessions.model.RegisteredServer
import dev.hibiscusreach.sessions.model.ServerStatus

/**
 * The servers of one group. A promotion takes effect after a delay; the old primary continues until it is demoted.
 * Replicas receive commits at once: they share the log of the server that leads. A server that was demoted keeps its
 * own log until it has caught up.
 */
internal class SimulatedServers {
    private val roles = ProxyFixture.SERVERS.associate { it.name to it.role }.toMutableMap()
    private val terms = ProxyFixture.SERVERS.associate { it.name to 1L }.toMutableMap()
    private val logTerms = terms.toMutableMap()
    private val starts = ProxyFixture.SERVERS.associate { it.name to it.startedAtMillis }.toMutableMap()
    private val firstLog = LinkedHashSet<Long>()
    private val logs = ProxyFixture.SERVERS.associate { it.name to firstLog }.toMutableMap()
    private var commits = 0L
    val down = mutableSetOf<ServerName>()
    val leaving = mutableSetOf<ServerName>()

    /** The server of the latest promotion that took effect. */
    var leader: ServerName = ProxyFixture.PRIMARY
        private set

    fun registered(): Map<ServerName, RegisteredServer> =
        ProxyFixture.SERVERS
            .filter { it.name !in down }
            .associate { it.name to registered(it) }

    private fun registered(server: RegisteredServer) =
        server.copy(
            role = roles.getValue(server.name),
            leaving = server.name in leaving,
            startedAtMillis = starts.getValue(server.name),
        )

    fun status(name: ServerName): ServerStatus? {
        if (name in down) return null
        val term = Term(terms.getValue(name))
        val received = Position(Term(logTerms.getValue(name)), logs.getValue(name).size + 1L)
        return ServerStatus(roles.getValue(name), term, received)
    }

    fun isPrimary(name: ServerName): Boolean = name !in down && roles.getValue(name) == ServerRole.PRIMARY

    /** Appends to the log of a primary and returns the number of the commit. */
    fun write(name: ServerName): Long {
        logs.getValue(name) += ++commits
        return commits
    }

    /** The commits that the log of [name] lacks. */
    fun lacking(name: ServerName, commits: Collection<Long>): List<Long> = commits.filter { it !in logs.getValue(name) }

    /** Whether the log of [name] is that of the leader. */
    fun sharesLeadersLog(name: ServerName): Boolean = logs.getValue(name) === logs.getValue(leader)

    /** Returns whether [name] leads only now. */
    fun promote(name: ServerName): Boolean {
        if (name in down || name == leader && isPrimary(name)) return false
        val term = terms.values.max() + 1
        roles[name] = ServerRole.PRIMARY
        leader = name
        logs[name] = LinkedHashSet(logs.getValue(name))
        follow(term, roles.keys.filter { it == name || it !in down && roles[it] == ServerRole.REPLICA })
        return true
    }

    fun stepDown(name: ServerName, term: Long) {
        if (name in down || terms.getValue(name) >= term) return
        roles[name] = ServerRole.REPLICA
        terms[name] = term
    }

    /** Gives a replica the log of the server that leads, if both run. */
    fun catchUp(name: ServerName) {
        if (leader !in down && name !in down && !isPrimary(name)) follow(terms.getValue(leader), listOf(name))
    }

    /** Makes every other primary a replica, if the server that leads runs. */
    fun demoteOthers() {
        if (leader in down) return
        val others = roles.keys.filter { it != leader && isPrimary(it) }
        others.forEach { roles[it] = ServerRole.REPLICA }
        follow(terms.getValue(leader), others)
    }

    /** Starts a server that was down; it is a replica if another server leads. */
    fun start(name: ServerName) {
        if (!down.remove(name)) return
        leaving -= name
        starts[name] = starts.getValue(name) + 1
        if (name != leader) {
            roles[name] = ServerRole.REPLICA
            follow(terms.getValue(leader), listOf(name))
        }
    }

    private fun follow(term: Long, names: List<ServerName>) {
        names.forEach {
            terms[it] = term
            logTerms[it] = term
            logs[it] = logs.getValue(leader)
        }
    }
}
