package dev.hibiscusreach.standins.platform

import dev.hibiscusreach.core.event.ListedHost

/** A host list whose changes become visible [lagMillis] after they were made. */
internal class LaggingHostList(private val lagMillis: Long) {
    private class Change(val visibleAt: Long, val hosts: List<ListedHost>)

    private var visible = emptyList<ListedHost>()
    private val changes = ArrayDeque<Change>()

    /** Replaces the list. */
    fun set(hosts: List<ListedHost>, now: Long) {
        changes.addLast(Change(now + lagMillis, hosts))
    }

    /** The list as it is visible at [now]. */
    fun at(now: Long): List<ListedHost> {
        while (changes.isNotEmpty() && changes.first().visibleAt <= now) visible = changes.removeFirst().hosts
        return visible
    }
}
