package dev.hibiscusreach.core.reducer

import dev.hibiscusreach.core.configuration.ConfigurationState
import dev.hibiscusreach.core.event.DrainPhase
import dev.hibiscusreach.core.group.GroupsState
import dev.hibiscusreach.core.membership.MembershipState
import dev.hibiscusreach.core.pool.PoolsState
import dev.hibiscusreach.core.request.RequestsState

/** The whole state of one proxy process, one slice for each part of the reducer. */
data class ProxyState(
    val settings: ProxySettings,
    val membership: MembershipState,
    val configuration: ConfigurationState = ConfigurationState(),
    val groups: GroupsState = GroupsState(),
    val pools: PoolsState = PoolsState(),
    val requests: RequestsState = RequestsState(),
) {
    /** The phase of the graceful shutdown. */
    val drainPhase: DrainPhase get() = requests.drainPhase

    companion object {
        /** The state of a process that has just started. */
        fun initial(settings: ProxySettings): ProxyState =
            ProxyState(
                settings = settings,
                membership = MembershipState(self = settings.self, selfDomain = settings.failureDomain),
            )
    }
}
