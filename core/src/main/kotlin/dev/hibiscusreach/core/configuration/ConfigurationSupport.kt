package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.StepContext
import kotlin.random.Random

/** This state with a changed configuration slice. */
internal fun ProxyState.withConfiguration(change: ConfigurationState.() -> ConfigurationState): ProxyState =
    copy(configuration = configuration.change())

/** This state with a changed view of the platform's store. */
internal fun ProxyState.withStore(change: StoreState.() -> StoreState): ProxyState =
    withConfiguration { copy(store = store.change()) }

/** A generator for one decision; [purpose] keeps the decisions within one event independent of each other. */
internal fun StepContext.randomFor(purpose: String): Random = Random(random xor purpose.hashCode().toLong())
