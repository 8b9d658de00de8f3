package dev.hibiscusreach.daemon

import dev.hibiscusreach.core.model.Endpoint
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.Callable

/** Prints the state of a running proxy. */
@Command(
    name = "dump",
    mixinStandardHelpOptions = true,
    description = ["Prints the state of a running proxy as JSON."],
)
internal class DumpCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Option(
        names = ["--endpoint"],
        required = true,
        paramLabel = "ADDRESS:PORT",
        converter = [EndpointConverter::class],
        description = ["The operations address of the proxy."],
    )
    lateinit var endpoint: Endpoint

    override fun call(): Int {
        val request = HttpRequest.newBuilder(URI("http://$endpoint/state")).timeout(TIMEOUT).build()
        val response = send(request)
        if (response.statusCode() != HTTP_OK) unreachable("status ${response.statusCode()}")
        spec.commandLine().out.println(response.body())
        return ExitCode.SUCCESS
    }

    private fun send(request: HttpRequest): HttpResponse<String> =
        try {
            HttpClient.newBuilder().connectTimeout(TIMEOUT).build().send(request, HttpResponse.BodyHandlers.ofString())
        } catch (failure: IOException) {
            unreachable(failure.toString())
        }

    private fun unreachable(reason: String): Nothing =
        throw CommandFailure(ExitCode.UNREACHABLE, "$endpoint gave no state: $reason")

    private companion object {
        const val HTTP_OK = 200
        val TIMEOUT: Duration = Duration.ofSeconds(5)
    }
}
