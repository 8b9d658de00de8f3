package dev.hibiscusreach.runtime.adapter

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.runtime.backend.HttpServerControl
import dev.hibiscusreach.runtime.backend.HttpServerSessions
import dev.hibiscusreach.runtime.loop.EventSink
import dev.hibiscusreach.runtime.platform.HttpPlatformClient
import io.netty.channel.EventLoopGroup

/** Creates the adapters to external systems; other implementations can use other protocols. */
interface AdapterFactory {
    /** Session connections to backend servers. */
    fun sessions(group: EventLoopGroup, sink: EventSink): ServerSessions

    /** Control commands to backend servers. */
    fun control(group: EventLoopGroup, sink: EventSink): ServerControl

    /** Calls to the platform at [endpoints]. */
    fun platform(group: EventLoopGroup, endpoints: List<Endpoint>, sink: EventSink): PlatformClient
}

/** Adapters that use HTTP/1.1 with JSON for backend servers and the platform. */
object HttpAdapterFactory : AdapterFactory {
    override fun sessions(group: EventLoopGroup, sink: EventSink): ServerSessions = HttpServerSessions(group, sink)

    override fun control(group: EventLoopGroup, sink: EventSink): ServerControl = HttpServerControl(group, sink)

    override fun platform(group: EventLoopGroup, endpoints: List<Endpoint>, sink: EventSink): PlatformClient =
        HttpPlatformClient(group, endpoints, sink)
}
