package dev.hibiscusreach.runtime.settings

import dev.hibiscusreach.core.model.Endpoint
import io.netty.util.NetUtil

/** Endpoints as text: `10.1.2.3:8080` or `[2001:db8::1]:8080`. */
object EndpointText {
    /** The required format, as the text of an error message. */
    const val REQUIRED_FORMAT: String = "must be an IP address and a port from 0 to 65535, such as 10.1.2.3:8080"
    private const val MAXIMUM_PORT = 65_535

    /** The endpoint that [text] holds, or null. */
    fun parse(text: String): Endpoint? {
        val address = text.substringBeforeLast(':', missingDelimiterValue = "").removeSurrounding("[", "]")
        val port = text.substringAfterLast(':').toIntOrNull()?.takeIf { it in 0..MAXIMUM_PORT }
        val valid = NetUtil.isValidIpV4Address(address) || NetUtil.isValidIpV6Address(address)
        return if (valid && port != null) Endpoint(address, port) else null
    }
}
