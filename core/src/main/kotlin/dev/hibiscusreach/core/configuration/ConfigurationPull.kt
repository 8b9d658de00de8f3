package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.model.Configuration
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.NodeIdentity
import dev.hibiscusreach.core.model.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** An outstanding request to a peer for its configuration. */
data class ConfigurationPull(
    val from: NodeIdentity,
    /** The generation that a peer announced; the pull ends once this one or a higher one is in effect. */
    val generation: Long,
    val attempts: Int = 1,
    /** Pages received so far, all of one generation. */
    val pages: PersistentMap<Int, Configuration> = persistentMapOf(),
) {
    internal companion object {
        /** Timeout for one page. A full frame takes up to 400 ms over the link between regions. */
        val TIMEOUT: Millis = 1.seconds
    }
}
