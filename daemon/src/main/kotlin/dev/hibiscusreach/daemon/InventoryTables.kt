package dev.hibiscusreach.daemon

import dev.hibiscusreach.core.model.BackendServer
import dev.hibiscusreach.core.model.Caller
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.DatabaseName
import dev.hibiscusreach.core.model.Endpoint
import dev.hibiscusreach.core.model.FailureDomain
import dev.hibiscusreach.core.model.FailureDomainName
import dev.hibiscusreach.core.model.Inventory
import dev.hibiscusreach.core.model.RegionName
import dev.hibiscusreach.core.model.ServerName
import org.apache.commons.csv.CSVFormat
import org.apache.commons.csv.CSVParser
import org.apache.commons.csv.CSVRecord
import java.io.IOException
import java.io.UncheckedIOException
import java.nio.file.Path

/** Reads an inventory from an asset register's tables: one row for each server, and one for each caller. */
internal object InventoryTables {
    private val serverColumns =
        listOf(
            "database",
            "server",
            "failure_domain",
            "region",
            "session_address",
            "session_port",
            "control_address",
            "control_port",
            "connection_limit",
            "slots",
        )
    private val callerColumns = listOf("caller")
    private val format =
        CSVFormat.DEFAULT
            .builder()
            .setHeader()
            .setSkipHeaderRecord(true)
            .setTrim(true)
            .setIgnoreEmptyLines(true)
            .get()

    private class Row(
        val database: DatabaseName,
        val region: RegionName,
        val server: BackendServer,
    )

    /** The inventory in [servers] and [callers]. */
    fun read(servers: Path, callers: Path): Inventory {
        val faults = mutableListOf<String>()
        val rows = records(servers, serverColumns, faults) { row(it) }
        val names = records(callers, callerColumns, faults) { Caller(CallerName(it.filled("caller"))) }
        faults += conflictingRegions(servers, rows)
        if (faults.isNotEmpty()) invalidInput(faults.joinToString("\n"))
        return Inventory(
            failureDomains = rows.map { FailureDomain(it.server.failureDomain, it.region) }.distinct(),
            databaseGroups =
            rows
                .groupBy(Row::database, Row::server)
                .map { (database, members) -> DatabaseGroup(database, members) },
            callers = names,
        )
    }

    private fun row(record: CSVRecord): Row =
        Row(
            database = DatabaseName(record.filled("database")),
            region = RegionName(record.filled("region")),
            server =
            BackendServer(
                name = ServerName(record.filled("server")),
                failureDomain = FailureDomainName(record.filled("failure_domain")),
                sessionEndpoint = Endpoint(record.filled("session_address"), record.number("session_port")),
                controlEndpoint = Endpoint(record.filled("control_address"), record.number("control_port")),
                connectionLimit = record.number("connection_limit"),
                slots = record.number("slots"),
            ),
        )

    private fun conflictingRegions(file: Path, rows: List<Row>): List<String> =
        rows
            .groupBy({ it.server.failureDomain }, { it.region })
            .filterValues { it.distinct().size > 1 }
            .map { (domain, regions) -> "$file: failure domain $domain has several regions: ${regions.distinct()}" }

    private fun <T> records(
        file: Path,
        columns: List<String>,
        faults: MutableList<String>,
        read: (CSVRecord) -> T,
    ): List<T> =
        parse(file) { parser ->
            val missing = columns - parser.headerNames.toSet()
            if (missing.isEmpty()) {
                parser.mapNotNull { record -> recordOrFault(file, record, faults, read) }
            } else {
                faults += "$file, line 1: columns are missing: ${missing.joinToString()}"
                emptyList()
            }
        }

    private fun <T> recordOrFault(
        file: Path,
        record: CSVRecord,
        faults: MutableList<String>,
        read: (CSVRecord) -> T,
    ): T? =
        try {
            read(record)
        } catch (failure: InvalidField) {
            faults += "$file, record ${record.recordNumber}: ${failure.message}"
            null
        }

    private fun <T> parse(file: Path, read: (CSVParser) -> T): T =
        try {
            CSVParser.parse(InputFiles.text(file), format).use(read)
        } catch (failure: IOException) {
            invalidInput("$file: not a valid CSV file: ${failure.message}")
        } catch (failure: UncheckedIOException) {
            invalidInput("$file: not a valid CSV file: ${failure.cause?.message}")
        } catch (failure: IllegalArgumentException) {
            invalidInput("$file: not a valid CSV file: ${failure.message}")
        }
}

private class InvalidField(message: String) : Exception(message)

private fun CSVRecord.filled(column: String): String {
    val value = if (isSet(column)) get(column) else ""
    return value.ifEmpty { throw InvalidField("$column is empty") }
}

private fun CSVRecord.number(column: String): Int =
    filled(column).toIntOrNull() ?: throw InvalidField("$column is not a whole number: ${filled(column)}")
