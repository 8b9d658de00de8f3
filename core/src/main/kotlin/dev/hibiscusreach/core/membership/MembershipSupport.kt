package dev.hibiscusreach.core.membership

import dev.hibiscusreach.core.reducer.ProxyState
import dev.hibiscusreach.core.reducer.StepContext
import kotlin.random.Random

/** This state with a changed membership slice. */
internal fun ProxyState.withMembership(change: MembershipState.() -> MembershipState): ProxyState =
    copy(membership = membership.change())

/** This state with a changed protocol state. */
internal fun ProxyState.withProtocol(change: ProtocolState.() -> ProtocolState): ProxyState =
    withMembership { copy(protocol = protocol.change()) }

/** A generator for one decision; [purpose] keeps the decisions within one event independent of each other. */
internal fun StepContext.randomFor(purpose: String): Random = Random(random xor purpose.hashCode().toLong())
