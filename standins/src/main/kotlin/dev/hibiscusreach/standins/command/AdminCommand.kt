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
    description = ["Sends one HTTP request, prints the body of the answer and succeeds if its status is 200."],
)
internal class AdminCommand : Callable<Int> {
    @Spec
    private lateinit var spec: CommandSpec

    @Parameters(index = "0", paramLabel = "METHOD")
    private lateinit var method: String

    @Parameters(index = "1", paramLabel = "HOST:PORT/PATH")
    private lateinit var target: String

    @Parameters(index = "2", arity = "0..1", paramLabel = "BODY", defaultValue = "")
    private lateinit var body: String

    @Option(names = ["--wait-millis"], description = ["Time for which the request is repeated until it succeeds."])
    private var waitMillis: Long = 0

    override fun call(): Int {
        val end = System.nanoTime() + Duration.ofMillis(waitMillis).toNanos()
        while (!succeeds()) {
            if (System.nanoTime() >= end) return 1
            Thread.sleep(RETRY_PAUSE_MILLIS)
        }
        return 0
    }

    private fun succeeds(): Boolean =
        try {
            val response = client.send(request(), HttpResponse.BodyHandlers.ofString())
            val succeeded = response.statusCode() == OK
            val lastLine = if (succeeded || waitMillis == 0L) response.body() else ""
            if (lastLine.isNotEmpty()) spec.commandLine().out.println(lastLine)
            succeeded
        } catch (failure: IOException) {
            if (waitMillis == 0L) spec.commandLine().err.println("$target: $failure")
            false
        }

    private fun request(): HttpRequest =
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
