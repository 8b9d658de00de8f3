package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.reducer.Step

/** The progress of a sequence of calls to the platform's store. */
internal sealed interface StoreProgress {
    /** The state and effects so far. */
    val step: Step

    /** Calls are outstanding. */
    data class Continues(override val step: Step) : StoreProgress

    /** The sequence is complete. */
    data class Finished(override val step: Step) : StoreProgress

    /** The sequence failed; the root must be read again before the next attempt. */
    data class Failed(override val step: Step, val reason: String) : StoreProgress
}
