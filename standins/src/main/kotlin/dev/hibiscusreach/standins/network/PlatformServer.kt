package dev.hibiscusreach.standins.network

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.standins.platform.ObjectStoreModel
import dev.hibiscusreach.standins.platform.ObjectStoreSettings
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.util.concurrent.TimeUnit

/** The ports on which the platform listens; 0 lets the system choose. */
data class PlatformPorts(
    val objects: Endpoint = Endpoint("127.0.0.1", port = 0),
    val admin: Endpoint = Endpoint("127.0.0.1", port = 0),
)

/** The platform stand-in, listening on its ports. All its work is done on one event loop. */
class PlatformServer(
    settings: ObjectStoreSettings = ObjectStoreSettings(),
    ports: PlatformPorts = PlatformPorts(),
    latencyMillis: Long = 0,
) : AutoCloseable {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val platform = PlatformLoop(ObjectStoreModel(settings), group.next())
    private val faults = TrafficFaults(latencyMillis)
    private val objects = HttpEndpoint(group, ports.objects, PlatformRoutes(platform), faults)
    private val admin = HttpEndpoint(group, ports.admin, PlatformAdminRoutes(platform, faults))

    /** The ports on which the platform actually listens. */
    val ports: PlatformPorts = PlatformPorts(objects.endpoint, admin.endpoint)

    override fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync()
    }
}
