package dev.hibiscusreach.standins.command

import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.standins.network.PlatformPorts
import dev.hibiscusreach.standins.network.PlatformServer
import dev.hibiscusreach.standins.platform.ObjectStoreSettings
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec

@Command(name = "platform", mixinStandardHelpOptions = true, description = ["Runs the platform until it is ended."])
internal class PlatformCommand : Runnable {
    @Spec
    private lateinit var spec: CommandSpec

    @Option(names = ["--listen"], defaultValue = "127.0.0.1:0", description = ["Endpoint of the object API."])
    private lateinit var listen: Endpoint

    @Option(names = ["--admin"], defaultValue = "127.0.0.1:0", description = ["Endpoint of the faults."])
    private lateinit var admin: Endpoint

    @Option(names = ["--latency-millis"], description = ["One-way latency of the object API."])
    private var latencyMillis: Long = 0

    @Option(names = ["--host-list-lag-millis"], description = ["Time until a change of the host list is visible."])
    private var hostListLagMillis: Long = 0

    @Option(names = ["--writes-per-second"], defaultValue = "400", description = ["Rate limit of writes."])
    private var writesPerSecond: Int = 0

    @Option(names = ["--reads-per-second"], defaultValue = "2000", description = ["Rate limit of reads."])
    private var readsPerSecond: Int = 0

    override fun run() {
        val settings =
            ObjectStoreSettings(
                writesPerSecond = writesPerSecond,
                readsPerSecond = readsPerSecond,
                hostListLagMillis = hostListLagMillis,
            )
        val platform = PlatformServer(settings, PlatformPorts(listen, admin), latencyMillis)
        spec.commandLine().out.println("platform objects=${platform.ports.objects} admin=${platform.ports.admin}")
        Thread.currentThread().join()
    }
}
