package dev.hibiscusreach.systemtests.stops

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.random.Random

/** How long the statements of a run take at servers: all are short, or some are slow. */
internal enum class Workload { SHORT, SOME_SLOW }

/** Stand-in of a primary and two replicas without lag, which speak the platform's line protocol. */
internal class LineServerGroup(
    val workload: Workload,
    private val ledger: StatementLedger,
    private val owners: ConnectionOwners,
) : AutoCloseable {
    private val commits = AtomicLong(1)
    val servers = List(SERVERS) { LineServer("i-${it + 1}", isPrimary = it == 0) }

    override fun close() = servers.forEach { it.close() }

    /** One server; a thread for each connection. */
    inner class LineServer(val name: String, val isPrimary: Boolean) : AutoCloseable {
        private val socket = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
        val port: Int get() = socket.localPort

        init {
            thread(isDaemon = true, name = name) { accept() }
        }

        override fun close() = socket.close()

        private fun accept() {
            while (!socket.isClosed) {
                try {
                    val connection = socket.accept()
                    thread(isDaemon = true) { connection.use { ServerSession(this, it).serve() } }
                } catch (_: IOException) {
                    // The server was closed.
                }
            }
        }
    }

    private inner class ServerSession(private val server: LineServer, private val connection: Socket) {
        private val owner = owners.find(connection.port)
        private val reader = connection.getInputStream().bufferedReader()
        private val writes = mutableListOf<String>()
        private var state = "I"
        private val position get() = "1.${commits.get()}"

        fun serve() {
            try {
                connection.tcpNoDelay = true
                reader.readLine() ?: return
                send("READY I $position\r\n")
                generateSequence { reader.readLine() }.takeWhile { it != "QUIT" }.forEach { line ->
                    val (_, identifier, text) = line.split(' ', limit = 3)
                    send(answer(identifier, text) + "READY $state $position\r\n")
                }
            } catch (_: IOException) {
                // The proxy has closed the connection.
            }
        }

        private fun send(text: String) = connection.getOutputStream().write(text.encodeToByteArray())

        private fun answer(identifier: String, sent: String): String {
            val text = if (sent.startsWith("WAITLSN ")) sent.split(' ', limit = 3)[2] else sent
            val word = text.substringBefore(' ')
            return when {
                !server.isPrimary && (text == "BEGIN" || word == "WRITE") -> "ERROR READONLY ${server.name}\r\n"
                word in WORK -> run(identifier, word)
                word == "STATUS" -> status()
                else -> {
                    if (word == "BEGIN") state = "T"
                    if (word == "ROLLBACK") end()
                    "COMPLETE -\r\n"
                }
            }
        }

        private fun status(): String {
            val role = if (server.isPrimary) "primary" else "replica"
            return "ROW $role 1 $position 1 0 0 1\r\nCOMPLETE -\r\n"
        }

        private fun run(identifier: String, word: String): String {
            ledger.ran(identifier, StatementRun(server.name, owner))
            Thread.sleep(workMillis(identifier))
            when {
                word == "COMMIT" -> {
                    (writes + identifier).forEach(::commit)
                    end()
                }
                word == "WRITE" && state == "T" -> writes += identifier
                word == "WRITE" -> commit(identifier)
            }
            val row = if (word == "READ") "ROW value\r\n" else ""
            return "${row}COMPLETE ${StopFindings.proofOf(identifier)}\r\n"
        }

        private fun commit(identifier: String) {
            commits.incrementAndGet()
            ledger.committed(identifier)
        }

        private fun end() {
            state = "I"
            writes.clear()
        }
    }

    // Depends on the identifier only, so that a repetition takes as long.
    private fun workMillis(identifier: String): Long {
        val random = Random(identifier.hashCode())
        val isSlow = workload == Workload.SOME_SLOW && random.nextInt(PERCENT) < SLOW_PERCENT
        return if (isSlow) random.nextLong(SLOW_MILLIS.first, SLOW_MILLIS.last) else SHORT_MILLIS
    }

    private companion object {
        /** The statements that take time at a server. */
        val WORK = setOf("READ", "WRITE", "COMMIT")
        const val SERVERS = 3
        const val BACKLOG = 200
        const val SHORT_MILLIS = 11L
        const val SLOW_PERCENT = 10
        const val PERCENT = 100
        val SLOW_MILLIS = 200L..3_200L
    }
}
