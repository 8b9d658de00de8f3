package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** A request for the configuration that was sent to a peer. */
data class Pull(
    val from: NodeIdentity,
    /** The generation that a peer said it has. */
    val generation: Long,
    val attempts: Int = 1,
    /** Pages received so far, all of one generation. */
    val pages: PersistentMap<Int, Configuration> = persistentMapOf(),
) {
    internal companion object {
        /** Time for one page over the link between regions, which takes up to 400 ms for a full frame. */
        val TIMEOUT: Millis = 1.seconds
    }
}
