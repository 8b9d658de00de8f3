package dev.hibiscusreach.sessions.part

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.sessions.event.PeerRequestNumber
import dev.hibiscusreach.sessions.event.SessionEffect
import dev.hibiscusreach.sessions.model.PeerAnswer
import dev.hibiscusreach.sessions.state.GroupView
import dev.hibiscusreach.sessions.state.WaitingSighting

/**
 * Answers peers that ask when a primary last answered this proxy. A home that has not asked the primary lately would
 * report it as not reached, so it probes the primary first.
 */
internal object Sightings {
    /** Answers at once if the server has answered lately or is silent; otherwise after a probe. */
    fun requested(reduction: Reduction, number: PeerRequestNumber, server: ServerName) {
        val group = reduction.state.server(server)?.let { reduction.state.groups[it.group] }
        if (group?.record?.primary == server && isUnknown(reduction, group, server)) {
            val waiting = WaitingSighting(number, reduction.now)
            reduction.put(group.copy(sightings = group.sightings + waiting))
            GroupMonitoring.sendProbe(reduction, server)
        } else {
            answer(reduction, number, server)
        }
    }

    /** Answers the peers that wait for a probe of [group] which is answered now or takes too long. */
    fun review(reduction: Reduction, group: GroupView) {
        val primary = group.record?.primary
        if (group.sightings.isEmpty() || primary == null) return
        val timeout = reduction.settings.homes.sightingProbeTimeout
        val answeredAt = reduction.health(primary).answeredAt
        val (ready, waiting) =
            group.sightings.partition { reduction.now - it.since >= timeout || isAnswered(answeredAt, it) }
        if (ready.isEmpty()) return
        reduction.put(group.copy(sightings = waiting))
        ready.forEach { answer(reduction, it.number, primary) }
    }

    private fun isAnswered(answeredAt: MonotonicTime?, sighting: WaitingSighting): Boolean =
        answeredAt != null && answeredAt >= sighting.since

    // Homes that probe on schedule know as much without a further probe. A request that was sent a moment ago says
    // nothing yet.
    private fun isUnknown(reduction: Reduction, group: GroupView, server: ServerName): Boolean {
        val health = reduction.health(server)
        val age = health.answeredAt?.let { reduction.now - it }
        val isRecent = age != null && age < reduction.settings.changes.sightingMaxAge
        val unanswered = health.silentSince?.let { reduction.now - it } ?: Millis(0)
        val isSilent = unanswered >= reduction.settings.homes.sightingProbeTimeout
        val asksProbers = !PositionSharing.isProber(reduction, group.name)
        return asksProbers && GroupHomes.isHome(reduction, group.name) && !isSilent && !isRecent
    }

    private fun answer(reduction: Reduction, number: PeerRequestNumber, server: ServerName) {
        val age = reduction.health(server).answeredAt?.let { (reduction.now - it).value }
        reduction.emit(SessionEffect.AnswerPeer(number, PeerAnswer.Seen(age)))
    }
}
