package dev.hibiscusreach.core.configuration

import dev.hibiscusreach.core.model.Endpoint

/** Validates endpoints. Addresses must be IP literals because no names are resolved at run time. */
internal object EndpointCheck {
    private const val HIGHEST_PORT = 65_535
    private const val HIGHEST_OCTET = 255

    private val IPV4 = Regex("""(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3})""")
    private val IPV6 = Regex("""[0-9A-Fa-f]{0,4}(:[0-9A-Fa-f]{0,4}){2,7}""")

    fun check(subject: String, endpoint: Endpoint): List<InventoryFault> =
        faultIf(!isAddress(endpoint.address), subject, "\"${endpoint.address}\" is not an IP address") +
            faultIf(endpoint.port !in 1..HIGHEST_PORT, subject, "port ${endpoint.port} is not in 1 to $HIGHEST_PORT")

    private fun isAddress(address: String): Boolean {
        val octets = IPV4.matchEntire(address)?.groupValues?.drop(1)
        return octets?.all { it.toInt() <= HIGHEST_OCTET } ?: IPV6.matches(address)
    }
}
