package dev.hibiscusreach.systemtests.processes

import java.nio.file.Path
import java.util.Base64
import kotlin.io.path.writeText

/** The settings, inventory and rules of a fleet, written to [folder]. */
internal class FleetFiles(
    private val folder: Path,
    private val platform: Int,
    private val proxies: List<FleetProxy>,
    private val servers: List<FleetServer>,
) {
    private val tokenKey = Base64.getEncoder().encodeToString(ByteArray(KEY_BYTES) { it.toByte() })

    fun settings(proxy: FleetProxy): String =
        write(
            "${proxy.name}.settings",
            """
            {
              "failureDomain": "${proxy.failureDomain}",
              "callerAddress": "127.0.0.1:${proxy.caller}",
              "operationsAddress": "127.0.0.1:${proxy.operations}",
              "peerAddress": "127.0.0.1:${proxy.peer}",
              "platformAddresses": ["127.0.0.1:$platform"],
              "seedAddresses": [${proxies.joinToString { "\"127.0.0.1:${it.peer}\"" }}],
              "tokenKey": "$tokenKey"
            }
            """,
        )

    fun inventory(): String =
        write(
            "inventory",
            """
            {
              "failureDomains": [
                {"name": "galway-yard", "region": "west"},
                {"name": "dublin-office", "region": "east"}
              ],
              "databaseGroups": [{"name": "$DATABASE", "servers": [${servers.joinToString(transform = ::server)}]}],
              "callers": [{"name": "$CALLER"}]
            }
            """,
        )

    fun rules(name: String, connectionLimit: Int): String =
        write(
            name,
            """
            {
              "callers": [
                {"caller": "$CALLER", "connectionLimit": $connectionLimit, "maximumReadAgeMillis": 2000}
              ]
            }
            """,
        )

    fun hostList(): String =
        proxies.joinToString(prefix = "[", postfix = "]") {
            """{"peerEndpoint":${endpoint(it.peer)},"failureDomain":"${it.failureDomain}"}"""
        }

    fun loadArguments(file: String, option: String): List<String> =
        listOf("load", "--platform", "127.0.0.1:$platform", option, file)

    /** Arguments of the stand-ins' load driver against all proxies; it checks that no sign-off is lost or doubled. */
    fun driveArguments(records: String, durationMillis: Int): List<String> =
        proxies.flatMap { listOf("--proxy", "127.0.0.1:${it.caller}=127.0.0.1:${it.operations}") } +
            listOf("--database", DATABASE, "--caller", CALLER, "--sessions", "8", "--rate", "80") +
            listOf("--read-percent", "40", "--maximum-age-millis", "2000", "--records", path(records)) +
            listOf("--duration-millis", durationMillis.toString())

    fun path(name: String): String = folder.resolve(name).toString()

    private fun server(server: FleetServer): String =
        """
        {"name": "${server.name}", "failureDomain": "${server.failureDomain}",
         "sessionEndpoint": ${endpoint(server.session)}, "controlEndpoint": ${endpoint(server.control)},
         "connectionLimit": 40, "slots": 5}
        """

    private fun endpoint(port: Int) = """{"address":"127.0.0.1","port":$port}"""

    private fun write(name: String, text: String): String = folder.resolve(name).apply { writeText(text) }.toString()

    companion object {
        const val DATABASE = "jobs"
        const val CALLER = "fitter-tablets"
        private const val KEY_BYTES = 32
    }
}
