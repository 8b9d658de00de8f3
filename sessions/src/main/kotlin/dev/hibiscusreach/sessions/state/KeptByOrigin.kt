package dev.hibiscusreach.sessions.state

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** What the sessions from one address keep together. */
data class KeptOfOrigin(val sessions: Int = 0, val bytes: Long = 0)

/** What sessions keep by the address of their callers, so that no decision walks all sessions. */
data class KeptByOrigin(
    val origins: PersistentMap<String, KeptOfOrigin> = persistentMapOf(),
    /** Bytes of all [origins]. */
    val bytes: Long = 0,
) {
    /** Bytes that the sessions from [origin] keep. */
    fun bytes(origin: String): Long = origins[origin]?.bytes ?: 0

    /** Whether there are sessions from another address than [origin]. */
    fun hasOthers(origin: String): Boolean = origins.size > (if (origin in origins) 1 else 0)

    /** The state after the session [before] has become [after]; null for a session that is not there. */
    fun replace(before: Session?, after: Session?): KeptByOrigin {
        val isSame = before?.origin == after?.origin && before?.keptBytes == after?.keptBytes
        if (isSame && (before == null) == (after == null)) return this
        return add(before, sign = -1).add(after, sign = 1)
    }

    private fun add(session: Session?, sign: Int): KeptByOrigin {
        val origin = session?.origin ?: return this
        val known = origins[origin] ?: KeptOfOrigin()
        val added = sign.toLong() * session.keptBytes
        val changed = KeptOfOrigin(known.sessions + sign, known.bytes + added)
        val rest = if (changed.sessions == 0) origins.remove(origin) else origins.put(origin, changed)
        return KeptByOrigin(rest, bytes + added)
    }
}
