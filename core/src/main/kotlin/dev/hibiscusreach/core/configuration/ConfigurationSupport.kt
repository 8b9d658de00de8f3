package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.StepContext
import kotlin.random.Random

/** A copy of this state with [change] applied to its configuration slice. */
internal fun ProxyState.withConfiguration(change: ConfigurationState.() -> ConfigurationState): ProxyState =
    copy(configuration = configuration.change())

/** A copy of this state with [change] applied to its state of the platform's store. */
internal fun ProxyState.withStore(change: StoreState.() -> StoreState): ProxyState =
    withConfiguration { copy(store = store.change()) }

/** A random generator for one decision; each [purpose] makes it independent of other decisions on the same event. */
internal fun StepContext.randomFor(purpose: String): Random = Random(random xor purpose.hashCode().toLong())
