package dev.hibiscusreach.daemon

import java.nio.file.Files
import java.nio.file.Path

/** Files as operators write them. */
internal object TestFiles {
    val inventory =
        """
        {
          // one database in one domain
          "failureDomains": [{"name": "galway", "region": "west"}],
          "databaseGroups": [
            {
              "name": "jobs",
              "servers": [
                {
                  "name": "jobs-1", "failureDomain": "galway",
                  "sessionEndpoint": {"address": "10.0.0.1", "port": 5432},
                  "controlEndpoint": {"address": "10.0.0.1", "port": 5433},
                  "connectionLimit": 30, "slots": 5
                }
              ]
            }
          ],
          "callers": [{"name": "tablet"}]
        }
        """.trimIndent()

    fun rules(connectionLimit: Int) = """{"callers": [{"caller": "tablet", "connectionLimit": $connectionLimit}]}"""

    const val SERVERS_CSV =
        "database,server,failure_domain,region,session_address,session_port," +
            "control_address,control_port,connection_limit,slots\n" +
            "jobs,jobs-1,galway,west,10.0.0.1,5432,10.0.0.1,5433,30,5\n"

    const val CALLERS_CSV = "caller\ntablet\n"

    fun write(folder: Path, name: String, text: String): Path = Files.writeString(folder.resolve(name), text)
}
