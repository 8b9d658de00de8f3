package dev.hibiscusreach.standins.command

import dev.hibiscusreach.core.model.Endpoint
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.net.Socket

@Command(
    name = "idle",
    mixinStandardHelpOptions = true,
    description = ["Opens connections, sends one request on each and holds them until the process is ended."],
)
internal class IdleCommand : Runnable {
    @Spec
    private lateinit var spec: CommandSpec

    @Option(names = ["--proxy"], required = true, paramLabel = "HOST:PORT")
    private lateinit var proxy: Endpoint

    @Option(names = ["--connections"], defaultValue = "1000")
    private var connections: Int = 0

    override fun run() {
        val sockets = List(connections) { open() }
        spec.commandLine().out.println("open=${sockets.size}")
        Thread.currentThread().join()
    }

    // The request is answered with an error of the closed list, which leaves the connection open.
    private fun open(): Socket {
        val socket = Socket(proxy.address, proxy.port)
        val request = "GET /v1/databases/none/outcomes/none HTTP/1.1\r\nHost: $proxy\r\n\r\n"
        socket.getOutputStream().write(request.encodeToByteArray())
        socket.getInputStream().read(ByteArray(ANSWER_BYTES))
        return socket
    }

    private companion object {
        const val ANSWER_BYTES = 4_096
    }
}
