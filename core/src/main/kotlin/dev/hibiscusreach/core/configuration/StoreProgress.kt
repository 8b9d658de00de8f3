package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.reducer.Step

/** How far a sequence of calls to the platform's store has come. */
internal sealed interface StoreProgress {
    /** The state and effects so far. */
    val step: Step

    /** More answers are to come. */
    data class Continues(override val step: Step) : StoreProgress

    /** The sequence is complete. */
    data class Finished(override val step: Step) : StoreProgress

    /** The sequence cannot be completed and starts anew with the root. */
    data class Failed(override val step: Step, val reason: String) : StoreProgress
}
