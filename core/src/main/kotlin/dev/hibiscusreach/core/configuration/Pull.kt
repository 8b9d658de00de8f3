package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.model.NodeIdentity

/** A request for the configuration that was sent to a peer. */
data class Pull(
    val from: NodeIdentity,
    /** The generation that a peer said it has. */
    val generation: Long,
    val attempts: Int = 1,
)
