package dev.hibiscusreach.sessions.model

import dev.hibiscusreach.core.model.Access
import dev.hibiscusreach.core.model.Millis
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.sessions.tenant.TenantName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A caller's statement that a proxy forwards to a home of its group, with the parts of the session that it needs. */
@Serializable
data class ForwardedStatement(
    /** The caller's identifier of the statement. */
    val identifier: String,
    val operation: ForwardedOperation,
    /** The route by which the forwarding proxy accepted the statement. */
    val route: Route,
    /** Values of the session. */
    val values: Map<String, String> = emptyMap(),
    /** Position of the session's latest commit in the group. */
    val lastCommit: Position? = null,
    val scope: ForwardedScope = ForwardedScope.SINGLE,
    /** Time since the statement arrived at the forwarding proxy. */
    val waited: Millis = Millis(0),
    /** Version of the configuration that [route] is part of; null from proxies that do not send it. */
    val configurationVersion: Long? = null,
    /** The tenant of the caller; null if it has none. */
    val tenant: ForwardedTenant? = null,
    /**
     * Time for which the home may send the first message of the statement to a server, from its arrival at the home;
     * null if that is not limited, and from proxies that do not send it.
     */
    val tokenRemaining: Millis? = null,
)

/** The tenant of a forwarded statement, as the forwarding proxy knows it. */
@Serializable
data class ForwardedTenant(
    val name: TenantName,
    /** Digest of the tenant's keys, since the keys themselves are not passed on. */
    val keysDigest: Long,
)

/** What a home runs for a [ForwardedStatement]. */
@Serializable
sealed interface ForwardedOperation {
    /** Runs [text] unchanged. */
    @Serializable
    @SerialName("run")
    data class Run(val access: Access, val text: String) : ForwardedOperation

    /** Runs a prepared statement. */
    @Serializable
    @SerialName("execute")
    data class Execute(val prepared: PreparedStatement, val arguments: String) : ForwardedOperation

    /** Commits the transaction that the session holds at the home. */
    @Serializable
    @SerialName("commit")
    data object Commit : ForwardedOperation
}

/** How a [ForwardedStatement] relates to the transaction of its session. */
@Serializable
enum class ForwardedScope {
    /** The statement is outside of a transaction. */
    @SerialName("single")
    SINGLE,

    /** The home opens a transaction first. */
    @SerialName("begin")
    BEGIN,

    /** The home opens a transaction that only reads first. */
    @SerialName("beginRead")
    BEGIN_READ,

    /** The home holds the session's transaction. */
    @SerialName("running")
    RUNNING,
}

/** A home's answer to a [ForwardedStatement]. */
@Serializable
sealed interface ForwardedAnswer {
    /** The reply for the caller. */
    @Serializable
    @SerialName("replied")
    data class Replied(
        val reply: SessionReply,
        /** Position of the session's latest commit. */
        val lastCommit: Position? = null,
    ) : ForwardedAnswer

    /** The receiver does not serve the group; the statement has not run. */
    @Serializable
    @SerialName("notServed")
    data class NotServed(val reason: String) : ForwardedAnswer

    /** The receiver's configuration, at [version], has another route or none; the statement has not run. */
    @Serializable
    @SerialName("otherRoute")
    data class OtherRoute(val version: Long) : ForwardedAnswer

    /** The time of [ForwardedStatement.tokenRemaining] has passed; the statement has not run. */
    @Serializable
    @SerialName("tokenExpired")
    data object TokenExpired : ForwardedAnswer
}
