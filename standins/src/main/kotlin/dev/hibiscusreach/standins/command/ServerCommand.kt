package dev.hibiscusreach.standins.command

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.standins.database.DatabaseServerSettings
import dev.hibiscusreach.standins.network.DatabaseServer
import dev.hibiscusreach.standins.network.ServerTiming
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec

@Command(
    name = "server",
    mixinStandardHelpOptions = true,
    description = ["Runs backend servers of one database group until the process is ended."],
)
internal class ServerCommand : Runnable {
    @Spec
    private lateinit var spec: CommandSpec

    @Option(
        names = ["--server"],
        required = true,
        paramLabel = "NAME=SESSION,CONTROL,ADMIN",
        description = ["A server of this process and its ports; may be repeated."],
    )
    private lateinit var servers: List<ServerOption>

    @Option(
        names = ["--peer"],
        paramLabel = "NAME=HOST:PORT",
        description = ["Control endpoint of a server of the same group in another process; may be repeated."],
    )
    private var peers: Map<String, Endpoint> = emptyMap()

    @Option(names = ["--connection-limit"], defaultValue = "30", description = ["Session connections per server."])
    private var connectionLimit: Int = 0

    @Option(names = ["--slots"], defaultValue = "5", description = ["Statements that run at the same time."])
    private var slots: Int = 0

    @Option(names = ["--open-millis"], defaultValue = "12", description = ["Time to open a session."])
    private var openMillis: Long = 0

    @Option(names = ["--statement-millis"], defaultValue = "1", description = ["Time of a statement in its slot."])
    private var statementMillis: Long = 0

    @Option(names = ["--latency-millis"], description = ["One-way latency of the session and control ports."])
    private var latencyMillis: Long = 0

    @Option(names = ["--replication-interval-millis"], defaultValue = "5", description = ["Time between pulls."])
    private var replicationIntervalMillis: Long = 0

    @Option(names = ["--replication-delay-millis"], description = ["Age at which a replica applies an entry."])
    private var replicationDelayMillis: Long = 0

    override fun run() {
        val started = servers.map(::start)
        val own = started.associate { it.settings.name to it.ports.control }
        val all = own + peers.mapKeys { ServerName(it.key) }
        started.forEach { it.join(all - it.settings.name) }
        started.forEach { spec.commandLine().out.println(line(it)) }
        Thread.currentThread().join()
    }

    private fun line(server: DatabaseServer): String {
        val ports = server.ports
        return "server name=${server.settings.name} session=${ports.session} control=${ports.control} " +
            "admin=${ports.admin}"
    }

    private fun start(option: ServerOption): DatabaseServer =
        DatabaseServer(
            settings = DatabaseServerSettings(option.name, connectionLimit, slots),
            ports = option.ports,
            timing =
            ServerTiming(
                openMillis = openMillis,
                statementMillis = statementMillis,
                latencyMillis = latencyMillis,
                replicationIntervalMillis = replicationIntervalMillis,
                replicationDelayMillis = replicationDelayMillis,
            ),
        )
}
