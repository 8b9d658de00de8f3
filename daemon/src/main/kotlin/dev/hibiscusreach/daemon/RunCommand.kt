package dev.hibiscusreach.daemon

import dev.hibiscusreach.runtime.ProxyRuntime
import dev.hibiscusreach.runtime.http.BindException
import dev.hibiscusreach.runtime.settings.DaemonSettings
import org.slf4j.LoggerFactory
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import sun.misc.Signal
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch

/** Runs a proxy until it is asked to stop. */
@Command(
    name = "run",
    mixinStandardHelpOptions = true,
    description = ["Runs a proxy. SIGTERM and SIGINT drain it; a second signal ends it at once."],
)
internal class RunCommand : Callable<Int> {
    @Option(names = ["--settings"], required = true, paramLabel = "FILE", description = ["The settings file."])
    lateinit var settingsFile: Path

    private val log = LoggerFactory.getLogger("dev.hibiscusreach.daemon")

    override fun call(): Int {
        val settings = InputFiles.settings(settingsFile)
        LogSetup.forProxy(settings.log)
        val stopRequested = CountDownLatch(1)
        listenToSignals(stopRequested)
        return start(settings).use { proxy -> serve(proxy, settings, stopRequested) }
    }

    private fun start(settings: DaemonSettings): ProxyRuntime =
        try {
            ProxyRuntime.start(settings)
        } catch (failure: BindException) {
            throw CommandFailure(ExitCode.ADDRESS_IN_USE, failure.message.orEmpty(), failure)
        }

    private fun serve(proxy: ProxyRuntime, settings: DaemonSettings, stopRequested: CountDownLatch): Int {
        log
            .atInfo()
            .addKeyValue("failureDomain", settings.failureDomain)
            .addKeyValue("callerAddress", proxy.addresses.caller)
            .addKeyValue("operationsAddress", proxy.addresses.operations)
            .addKeyValue("peerAddress", proxy.addresses.peer)
            .log("started")
        stopRequested.await()
        log.info("draining")
        proxy.drain()
        val request = settings.reducer.request
        val limit = request.leavingNotice + request.drainLimit + request.drainLimit
        val complete = proxy.awaitExit(limit.value)
        if (complete) log.info("drained") else log.error("not drained within {}; requests are interrupted", limit)
        return if (complete) ExitCode.SUCCESS else ExitCode.INTERRUPTED
    }

    private fun listenToSignals(stopRequested: CountDownLatch) {
        for (name in listOf("TERM", "INT")) {
            Signal.handle(Signal(name)) {
                if (stopRequested.count == 0L) Runtime.getRuntime().halt(ExitCode.INTERRUPTED)
                stopRequested.countDown()
            }
        }
    }
}
