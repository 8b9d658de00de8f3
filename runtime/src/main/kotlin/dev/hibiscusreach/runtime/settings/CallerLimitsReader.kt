package dev.hibiscusreach.runtime.settings

import dev.hibiscusreach.runtime.caller.CallerLimits

/** Reads the limits of the caller endpoint. */
internal object CallerLimitsReader {
    private const val KIBIBYTE = 1_024
    private const val MAXIMUM_CONNECTIONS = 1_000_000
    private const val MAXIMUM_HEADER_BYTES = 64 * KIBIBYTE

    /** A request that is forwarded must fit into a frame of 1 MiB between proxies, with its token and names. */
    private const val MAXIMUM_BODY_BYTES = 900 * KIBIBYTE
    private const val MINIMUM_BUFFERED_BYTES = 1_024L * KIBIBYTE
    private const val MAXIMUM_BUFFERED_BYTES = 16L * KIBIBYTE * KIBIBYTE * KIBIBYTE
    private const val MAXIMUM_REQUESTS_IN_FLIGHT = 1_000

    fun read(reader: SectionReader): CallerLimits {
        var limits = CallerLimits()
        reader.section("callerLimits") { limits = read(it, limits) }
        return limits
    }

    private fun read(section: SectionReader, default: CallerLimits): CallerLimits {
        val connections = 1..MAXIMUM_CONNECTIONS
        val buffered = MINIMUM_BUFFERED_BYTES..MAXIMUM_BUFFERED_BYTES
        val headerBytes = KIBIBYTE..MAXIMUM_HEADER_BYTES
        val bodyBytes = KIBIBYTE..MAXIMUM_BODY_BYTES
        val inFlight = 1..MAXIMUM_REQUESTS_IN_FLIGHT
        return CallerLimits(
            maximumConnections = section.count("maximumConnections", default.maximumConnections, connections),
            maximumHeaderBytes = section.count("maximumHeaderBytes", default.maximumHeaderBytes, headerBytes),
            maximumBodyBytes = section.count("maximumBodyBytes", default.maximumBodyBytes, bodyBytes),
            maximumBufferedBytes = section.number("maximumBufferedBytes", default.maximumBufferedBytes, buffered),
            maximumInFlight = section.count("maximumInFlight", default.maximumInFlight, inFlight),
            receiveTimeout = section.millis("receiveTimeout", default.receiveTimeout),
            idleTimeout = section.millis("idleTimeout", default.idleTimeout),
            sendTimeout = section.millis("sendTimeout", default.sendTimeout),
        )
    }
}
