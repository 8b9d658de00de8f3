package dev.hibiscusreach.sessions.state

import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.milliseconds
import dev.hibiscusreach.core.model.seconds

/** Limits on connections that belong to one tenant each. */
data class TenantPoolSettings(
    /** Extra cost of a server without an idle connection of the tenant: about a round trip and 12 ms of a slot. */
    val connectPenalty: Millis = 25.milliseconds,
    /**
     * A connection that was used within this time is not closed for another tenant, if its two latest uses were within
     * this time of each other. The uses are counted and not derived from the allowance, which may be far above the
     * load. Connections kept for tenants that did not use them again had the others wait for half of their time: with
     * one of three servers left and 84 tenants, 11% of the operations were refused.
     */
    val protection: Millis = 250.milliseconds,
    /** Share of the time that a statement may wait, in percent, after which it may have any idle connection closed. */
    val patiencePercent: Int = 50,
    /** Time for which a server may still count a connection that was closed; covers the way between regions. */
    val closeDelay: Millis = 50.milliseconds,
    /**
     * Idle connections are closed after this long. Longer than for connections without a tenant, since small tenants
     * send less than one operation per second, and opening a connection takes 12 ms of a server's slot.
     */
    val idleTimeout: Millis = 10.seconds,
    /** Share of a pool, in percent, that transactions at rest of one tenant may hold while another tenant waits. */
    val restPercent: Int = 50,
    /** Longest retry advice under overload, before it is spread. */
    val maxRetryAfter: Millis = 1.seconds,
)
