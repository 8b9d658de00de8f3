package dev.hibiscusreach.systemtests.processes

import org.junit.jupiter.api.extension.BeforeEachCallback
import org.junit.jupiter.api.extension.ExtensionContext
import org.junit.jupiter.api.extension.ExtensionContext.Namespace
import org.junit.jupiter.api.extension.ParameterContext
import org.junit.jupiter.api.extension.ParameterResolver

/** Starts one fleet for all test classes, ends it after the last, and waits before each test until it is healthy. */
internal class FleetExtension :
    ParameterResolver,
    BeforeEachCallback {
    override fun supportsParameter(parameter: ParameterContext, context: ExtensionContext): Boolean =
        parameter.parameter.type == ProcessFleet::class.java

    override fun resolveParameter(parameter: ParameterContext, context: ExtensionContext): ProcessFleet = fleet(context)

    override fun beforeEach(context: ExtensionContext) = fleet(context).restore()

    private fun fleet(context: ExtensionContext): ProcessFleet =
        context.root
            .getStore(Namespace.create(FleetExtension::class.java))
            .getOrComputeIfAbsent(ProcessFleet::class.java, { StartedFleet() }, StartedFleet::class.java)
            .fleet
}

// JUnit closes it at the end of the run. A fleet that does not start is ended at once.
private class StartedFleet : AutoCloseable {
    val fleet = ProcessFleet()

    init {
        runCatching { fleet.start() }.onFailure { fleet.close() }.getOrThrow()
    }

    override fun close() = fleet.close()
}
