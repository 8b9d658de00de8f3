package dev.hibiscusreach.runtime.backend

import kotlinx.serialization.json.Json
import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Status codes, JSON format and logger shared by the clients of backend servers. */
internal object ServerWire {
    const val STATUS_OK = 200
    const val STATUS_UNAVAILABLE = 503

    val json: Json = Json { ignoreUnknownKeys = true }
    val log: Logger = LoggerFactory.getLogger("dev.hibiscusreach.runtime.backend")
}
