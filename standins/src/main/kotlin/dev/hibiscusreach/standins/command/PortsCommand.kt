package dev.hibiscusreach.standins.command

import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.net.InetAddress
import java.net.ServerSocket

@Command(name = "ports", mixinStandardHelpOptions = true, description = ["Prints free ports of the loopback address."])
internal class PortsCommand : Runnable {
    @Spec
    private lateinit var spec: CommandSpec

    @Parameters(index = "0", paramLabel = "COUNT")
    private var count: Int = 0

    // All sockets are open at the same time, so that the ports differ.
    override fun run() {
        val sockets = List(count) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
        sockets.forEach { spec.commandLine().out.println(it.localPort) }
        sockets.forEach(ServerSocket::close)
    }
}
