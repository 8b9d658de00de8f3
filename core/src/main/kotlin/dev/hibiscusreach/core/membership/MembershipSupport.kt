package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.StepContext
import kotlin.random.Random

/** A copy of this state with [change] applied to its membership slice. */
internal fun ProxyState.withMembership(change: MembershipState.() -> MembershipState): ProxyState =
    copy(membership = membership.change())

/** A copy of this state with [change] applied to its state of the gossip protocol. */
internal fun ProxyState.withProtocol(change: ProtocolState.() -> ProtocolState): ProxyState =
    withMembership { copy(protocol = protocol.change()) }

/** A random generator for one decision; each [purpose] makes it independent of other decisions on the same event. */
internal fun StepContext.randomFor(purpose: String): Random = Random(random xor purpose.hashCode().toLong())
