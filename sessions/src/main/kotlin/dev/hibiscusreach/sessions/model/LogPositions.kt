package dev.hibiscusreach.sessions.model

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.Position

/** Asks a home for the latest known log position of a group's primary; [number] is the sender's number. */
data class PositionRequest(val group: GroupName, val number: Long)

/** The answer to the [PositionRequest] with the same number. */
data class PositionReport(
    val group: GroupName,
    val number: Long,
    /** Epoch of the group's record as the sender knows it. */
    val epoch: Long,
    /** The primary's log had at least this position when it answered. */
    val position: Position,
    /** Time since the primary was asked. */
    val age: Millis,
)
