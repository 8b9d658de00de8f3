package dev.hibiscusreach.standins.command

import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.Callable

@Command(
    name = "admin",
    mixinStandardHelpOptions = true,
    description = ["Sends HTTP requests, prints the bodies of the answers and succeeds if every status is 200."],
)
internal class AdminCommand : Callable<Int> {
    @Spec
    private lateinit var spec: CommandSpec

    @Parameters(index = "0", paramLabel = "METHOD")
    private lateinit var method: String

    @Parameters(index = "1..*", arity = "1..*", paramLabel = "HOST:PORT/PATH")
    private lateinit var targets: List<String>

    @Option(names = ["--body"], defaultValue = "")
    private lateinit var body: String

    @Option(names = ["--wait-millis"], description = ["Time for which requests are repeated until they succeed."])
    private var waitMillis: Long = 0

    override fun call(): Int {
        val end = System.nanoTime() + Duration.ofMillis(waitMillis).toNanos()
        return if (targets.all { succeeds(it, end) }) 0 else 1
    }

    private fun succeeds(target: String, end: Long): Boolean {
        while (!succeedsOnce(target)) {
            if (System.nanoTime() >= end) return false
            Thread.sleep(RETRY_PAUSE_MILLIS)
        }
        return true
    }

    private fun succeedsOnce(target: String): Boolean =
        try {
            val response = client.send(request(target), HttpResponse.BodyHandlers.ofString())
            val succeeded = response.statusCode() == OK
            val lastLine = if (succeeded || waitMillis == 0L) response.body() else ""
            if (lastLine.isNotEmpty()) spec.commandLine().out.println(lastLine)
            succeeded
        } catch (failure: IOException) {
            if (waitMillis == 0L) spec.commandLine().err.println("$target: $failure")
            false
        }

    private fun request(target: String): HttpRequest =
        HttpRequest
            .newBuilder(URI("http://$target"))
            .timeout(Duration.ofSeconds(TIMEOUT_SECONDS))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build()

    private companion object {
        const val OK = 200
        const val RETRY_PAUSE_MILLIS = 50L
        const val TIMEOUT_SECONDS = 5L
        val client: HttpClient = HttpClient.newHttpClient()
    }
}
