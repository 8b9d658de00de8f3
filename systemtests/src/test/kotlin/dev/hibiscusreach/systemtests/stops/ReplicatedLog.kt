package dev.hibiscusreach.systemtests.stops

import java.util.concurrent.TimeUnit

/** A commit that the primary [server] has made; [previous] is the one before it in the same log. */
internal class Commit(
    val identifier: String,
    val server: String,
    val term: Long,
    val index: Long,
    val previous: Commit?,
    /** Whether another server had been promoted before. */
    val isAfterReplacement: Boolean,
) {
    override fun toString() = "$term.$index at $server"
}

/**
 * The logs of a group's servers. Replicas have each commit at once. After a promotion the old primary goes on for a
 * second, or until it is told to step down; its commits from then on are cut back when it follows the new primary.
 */
internal class ReplicatedLog(names: List<String>) {
    private class Replica {
        var isPrimary = false
        var term = FIRST_TERM
        var last: Commit? = null
        var replacedAt: Long? = null
    }

    private val replicas = names.associateWith { Replica() }

    /** The server of the latest promotion. */
    @get:Synchronized
    var leader = names.first()
        private set

    init {
        replicas.getValue(leader).isPrimary = true
    }

    @Synchronized
    fun isPrimary(name: String): Boolean {
        val replica = replicas.getValue(name)
        val replacedAt = replica.replacedAt
        if (replacedAt != null && System.nanoTime() - replacedAt > FOLLOW_NANOS) follow(replica)
        return replica.isPrimary
    }

    @Synchronized
    fun term(name: String): Long = replicas.getValue(name).term

    /** Term and index of the last commit in the log of [name], as the protocol writes them. */
    @Synchronized
    fun position(name: String): String =
        replicas.getValue(name).last?.let { "${it.term}.${it.index}" } ?: "$FIRST_TERM.0"

    /** Commits at the primary [name]; null if it is not a primary any more. */
    @Synchronized
    fun commit(name: String, identifier: String): Commit? {
        if (!isPrimary(name)) return null
        val replica = replicas.getValue(name)
        val index = (replica.last?.index ?: 0) + 1
        val commit = Commit(identifier, name, replica.term, index, replica.last, isAfterReplacement = name != leader)
        val receivers = if (name == leader) replicas.values.filter { it.replacedAt == null } else listOf(replica)
        receivers.forEach { it.last = commit }
        return commit
    }

    /** Whether the log of [name] has [commit]. */
    @Synchronized
    fun contains(name: String, commit: Commit): Boolean =
        generateSequence(replicas.getValue(name).last) { it.previous }.first { it.index <= commit.index } === commit

    /** Whether the log of [name] reaches [position]. */
    @Synchronized
    fun reaches(name: String, position: String): Boolean {
        val (term, index) = position.split('.').map(String::toLong)
        val last = replicas.getValue(name).last
        val lastTerm = last?.term ?: FIRST_TERM
        return lastTerm > term || lastTerm == term && (last?.index ?: 0) >= index
    }

    /** Lets [name] lead the next term with what it has. */
    @Synchronized
    fun promote(name: String) {
        if (name == leader) return
        val next = replicas.getValue(name)
        if (next.replacedAt != null) follow(next)
        replicas.getValue(leader).replacedAt = System.nanoTime()
        next.term = replicas.values.maxOf { it.term } + 1
        next.isPrimary = true
        leader = name
        replicas.values.filter { it.replacedAt == null }.forEach { it.term = next.term }
    }

    /** Makes the primary of an earlier term than [term] a replica. */
    @Synchronized
    fun stepDown(name: String, term: Long) {
        val replica = replicas.getValue(name)
        if (name != leader && replica.term < term) follow(replica)
    }

    /** Makes a server that starts anew a replica if another one leads. */
    @Synchronized
    fun restart(name: String) {
        if (name != leader) follow(replicas.getValue(name))
    }

    private fun follow(replica: Replica) {
        val primary = replicas.getValue(leader)
        replica.isPrimary = false
        replica.replacedAt = null
        replica.term = primary.term
        replica.last = primary.last
    }

    private companion object {
        const val FIRST_TERM = 1L
        val FOLLOW_NANOS = TimeUnit.SECONDS.toNanos(1)
    }
}
