package dev.hibiscusreach.standins.network

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.standins.database.DatabaseServerModel
import dev.hibiscusreach.standins.database.DatabaseServerSettings
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.http.HttpClient
import java.util.concurrent.TimeUnit

/** Times of a backend server stand-in in milliseconds. */
data class ServerTiming(
    val openMillis: Long = OPEN_MILLIS,
    val statementMillis: Long = 1,
    val latencyMillis: Long = 0,
    val replicationIntervalMillis: Long = REPLICATION_INTERVAL_MILLIS,
    val replicationDelayMillis: Long = 0,
) {
    private companion object {
        const val OPEN_MILLIS = 12L
        const val REPLICATION_INTERVAL_MILLIS = 5L
    }
}

/** The ports on which a backend server listens; 0 lets the system choose. */
data class ServerPorts(
    val session: Endpoint = ANY_PORT,
    val control: Endpoint = ANY_PORT,
    val admin: Endpoint = ANY_PORT,
) {
    private companion object {
        val ANY_PORT = Endpoint("127.0.0.1", port = 0)
    }
}

/** A backend server stand-in that listens on its ports. All its work is done on one event loop of its own. */
class DatabaseServer(
    val settings: DatabaseServerSettings,
    ports: ServerPorts = ServerPorts(),
    private val timing: ServerTiming = ServerTiming(),
) : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val server = DatabaseServerLoop(DatabaseServerModel(settings), group.next())
    private val peers = HashMap<ServerName, Endpoint>()
    private val faults = TrafficFaults(timing.latencyMillis)
    private val puller = ReplicationPuller(server, peers, faults, timing, HttpClient.newHttpClient())
    private val session = HttpEndpoint(group, ports.session, SessionRoutes(server, timing), faults)
    private val control = HttpEndpoint(group, ports.control, ControlRoutes(server), faults)
    private val admin = HttpEndpoint(group, ports.admin, ServerAdminRoutes(server, faults, puller))

    /** The ports on which the server actually listens. */
    val ports: ServerPorts = ServerPorts(session.endpoint, control.endpoint, admin.endpoint)

    /** Starts replication between this server and [others], the control endpoints of the rest of the group. */
    fun join(others: Map<ServerName, Endpoint>) =
        server.execute {
            peers += others
            puller.start()
        }

    override fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync()
    }
}
