package dev.hibiscusreach.systemtests.stops

import dev.hibiscusreach.systemtests.processes.FreePorts
import dev.hibiscusreach.systemtests.processes.LoopbackListener
import java.io.IOException
import java.net.InetAddress
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Future
import kotlin.concurrent.thread

/** How a host is cut off from the other hosts. */
internal enum class Cut {
    /** Connections to the host are refused, and open ones reset. */
    RESETS,

    /** Nothing arrives. */
    SILENT,
}

/**
 * The paths between proxies, whose peer ports are [targets]. Each proxy is reached through a port of its own, which it
 * advertises. A proxy can be cut off from all others in both directions while its other connections go on.
 */
internal class PeerPaths(private val targets: Map<String, Int>, processes: () -> Map<String, Long>) : AutoCloseable {
    private class Link(val near: Socket, val far: Socket, val target: String, val owner: Future<String>) {
        fun touches(node: String) = target == node || owner.isDone && owner.get() == node
    }

    private val owners = ConnectionOwners(processes)
    private val ports = targets.keys.zip(FreePorts.choose(targets.size)).toMap()
    private val listeners = ConcurrentHashMap<String, LoopbackListener>()
    private val links = ConcurrentHashMap.newKeySet<Link>()
    private val cuts = ConcurrentHashMap<String, Cut>()

    init {
        targets.keys.forEach(::listen)
    }

    /** The port at which the peers of [node] reach it. */
    fun port(node: String): Int = ports.getValue(node)

    /** Cuts [node] off until [heal]. */
    fun cut(node: String, how: Cut) {
        cuts[node] = how
        if (how == Cut.RESETS) {
            listeners.getValue(node).close()
            links.filter { it.touches(node) }.forEach(::reset)
        }
    }

    /** Ends the cut of [node]. */
    fun heal(node: String) {
        if (cuts.remove(node) == Cut.RESETS) listen(node)
    }

    override fun close() {
        listeners.values.forEach(LoopbackListener::close)
        links.forEach(::end)
        owners.close()
    }

    private fun listen(node: String) {
        listeners[node] = LoopbackListener(port(node)) { near -> thread(isDaemon = true) { connect(node, near) } }
    }

    private fun connect(node: String, near: Socket) {
        val owner = owners.find(near.port)
        // Without a cut no connection has to wait until its owner is known.
        if (cuts.isNotEmpty()) owner.get()
        try {
            val link = Link(near, Socket(InetAddress.getLoopbackAddress(), targets.getValue(node)), node, owner)
            links += link
            thread(isDaemon = true) { pump(link, link.near, link.far) }
            thread(isDaemon = true) { pump(link, link.far, link.near) }
        } catch (_: IOException) {
            // The process does not run.
            near.setSoLinger(true, 0)
            near.close()
        }
    }

    private fun pump(link: Link, from: Socket, to: Socket) {
        try {
            val buffer = ByteArray(BUFFER_BYTES)
            val input = from.getInputStream()
            generateSequence { input.read(buffer) }.takeWhile { it >= 0 }.forEach { count ->
                while (cutOf(link) == Cut.SILENT) Thread.sleep(POLL_MILLIS)
                if (cutOf(link) == Cut.RESETS) reset(link)
                to.getOutputStream().write(buffer, 0, count)
            }
        } catch (_: IOException) {
            // One end has closed the connection, or it was reset.
        }
        end(link)
    }

    private fun cutOf(link: Link): Cut? = cuts.entries.firstOrNull { link.touches(it.key) }?.value

    private fun reset(link: Link) {
        try {
            listOf(link.near, link.far).forEach { it.setSoLinger(true, 0) }
        } catch (_: IOException) {
            // It has ended already.
        }
        end(link)
    }

    private fun end(link: Link) {
        links -= link
        link.near.close()
        link.far.close()
    }

    private companion object {
        const val BUFFER_BYTES = 16 * 1024
        const val POLL_MILLIS = 5L
    }
}
