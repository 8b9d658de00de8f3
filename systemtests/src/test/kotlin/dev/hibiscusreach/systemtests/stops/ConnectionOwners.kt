package dev.hibiscusreach.systemtests.stops

import java.io.File
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** Finds the processes at the other ends of loopback connections, from the kernel's tables of sockets. */
internal class ConnectionOwners(private val processes: () -> Map<String, Long>) : AutoCloseable {
    private class Search(val port: Int, val owner: CompletableFuture<String>)

    private val searches = LinkedBlockingQueue<Search>()
    private val executor = Executors.newSingleThreadScheduledExecutor()

    init {
        executor.scheduleWithFixedDelay(::findAll, PERIOD_MILLIS, PERIOD_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** The name of the process that has the loopback port [port]; "unknown" if the connection ends too soon. */
    fun find(port: Int): CompletableFuture<String> =
        CompletableFuture<String>().also { searches.add(Search(port, it)) }

    override fun close() {
        executor.shutdown()
        executor.awaitTermination(1, TimeUnit.SECONDS)
        findAll()
    }

    // One pass over the tables serves all searches, since there are many connections.
    private fun findAll() {
        val pending = mutableListOf<Search>()
        if (searches.drainTo(pending) == 0) return
        val inodes = inodesByPort()
        val owners = processes().flatMap { (name, process) -> openFiles(process).map { it to name } }.toMap()
        pending.forEach { it.owner.complete(owners["socket:[${inodes[it.port]}]"] ?: UNKNOWN) }
    }

    private fun inodesByPort(): Map<Int, String> =
        TABLES
            .map(::File)
            .filter { it.exists() }
            .flatMap { it.readLines().drop(1) }
            .map { it.trim().split(BLANKS) }
            .associate { it[LOCAL_ADDRESS].substringAfterLast(':').toInt(HEXADECIMAL) to it[INODE] }

    private fun openFiles(process: Long): List<String> =
        File("/proc/$process/fd").listFiles().orEmpty().mapNotNull { target(it.toPath()) }

    private fun target(descriptor: Path): String? =
        try {
            Files.readSymbolicLink(descriptor).toString()
        } catch (_: IOException) {
            null
        }

    private companion object {
        const val UNKNOWN = "unknown"
        const val PERIOD_MILLIS = 50L
        const val LOCAL_ADDRESS = 1
        const val INODE = 9
        const val HEXADECIMAL = 16
        val TABLES = listOf("/proc/net/tcp", "/proc/net/tcp6")
        val BLANKS = Regex("\\s+")
    }
}
