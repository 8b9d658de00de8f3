package dev.hibiscusreach.systemtests.stops

import dev.hibiscusreach.platform.StoreStandIn

/** The operators' configuration and the entries of the servers in the store. */
internal class StopConfiguration(
    private val store: StoreStandIn,
    private val statementTimeoutMillis: Long,
    servers: List<LineServerGroup.LineServer>,
) {
    private var version = 0

    init {
        servers.forEach { server ->
            val role = if (server.isPrimary) "primary" else "replica"
            val entry =
                """{"service":"$GROUP","address":"127.0.0.1:${server.port}","zone":"yard","version":"v1",""" +
                    """"capacity":64,"phase":"ready","cold_remaining_ms":0,"db_role":"$role","sequence":1,"born":1}"""
            store.put("servers", server.name, entry)
        }
        change()
    }

    /** Writes the next version, which differs in a route that nobody uses. */
    fun change() {
        version++
        val routes = (DATABASES + ("unused-$version" to "primary")).entries.joinToString { (database, consistency) ->
            """{"database":"$database","service":"$GROUP","type":"$consistency","priority":1,""" +
                """"timeout_ms":$statementTimeoutMillis,"target_latency_ms":800,"max_staleness_ms":2500}"""
        }
        val group = """{"name":"$GROUP","max_conns":90,"sync_replicas":0}"""
        val limits = """{"tx_idle_ms":3000}"""
        val content = """{"version":$version,"routes":[$routes],"services":[$group],"limits":$limits}"""
        store.put("config", "main", content)
    }

    companion object {
        private const val GROUP = "ledger"

        /** The databases of callers, with the consistency of their reads. */
        val DATABASES =
            mapOf("signoffs" to "primary", "status" to "bounded_staleness", "quotes" to "read_your_writes")
    }
}
