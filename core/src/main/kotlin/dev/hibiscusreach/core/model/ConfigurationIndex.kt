package dev.hibiscusreach.core.model

/** Lookup maps over a [Configuration], built once for each generation. */
class ConfigurationIndex(val configuration: Configuration) {
    private val groups = configuration.inventory.databaseGroups.associateBy { it.name }
    private val servers =
        configuration.inventory.databaseGroups
            .flatMap { group -> group.servers.map { it.name to (group to it) } }
            .toMap()
    private val callers = configuration.inventory.callers.associateBy { it.name }
    private val rules = configuration.rules.callers.associateBy { it.caller }
    private val domains = configuration.inventory.failureDomains.associateBy { it.name }

    /** The generation of the configuration. */
    val generation: Long get() = configuration.generation

    /** All failure domains in the order of the inventory. */
    val failureDomains: List<FailureDomain> get() = configuration.inventory.failureDomains

    /** All database groups in the order of the inventory. */
    val databaseGroups: Collection<DatabaseGroup> get() = groups.values

    /** The group of [name], or null if the inventory has none. */
    fun group(name: DatabaseName): DatabaseGroup? = groups[name]

    /** The server called [name], or null if the inventory has none. */
    fun server(name: ServerName): BackendServer? = servers[name]?.second

    /** The group that the server called [name] belongs to. */
    fun groupOf(name: ServerName): DatabaseGroup? = servers[name]?.first

    /** Whether the inventory has the caller. */
    fun hasCaller(name: CallerName): Boolean = name in callers

    /** The rule of a caller, or the default rule if the configuration has none for it. */
    fun rule(caller: CallerName): CallerRule = rules[caller] ?: CallerRule(caller)

    /** The region of a failure domain, or null if the inventory does not list the domain. */
    fun region(domain: FailureDomainName): RegionName? = domains[domain]?.region
}
