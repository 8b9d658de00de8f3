package dev.hibiscusreach.systemtests.fleet

/** A workload on a fleet, under faults, with a calm end in which every operation gets its answer. */
class Scenario(
    deployment: Deployment,
    val seed: Long,
    val mix: WorkloadMix = WorkloadMix(),
    kinds: List<Fault> = emptyList(),
) {
    val fleet = Fleet(deployment, seed)
    val history = History()
    private val database = deployment.configuration.inventory.databaseGroups.first().name
    val faults = Faults(fleet, database, kinds)
    private val clients =
        (0 until mix.clients).map { number ->
            val caller = if (number % 2 == 0) Deployment.RELAXED_CALLER else Deployment.STRICT_CALLER
            TestClient(number, caller, database, fleet, history, mix)
        }
    private val limits = LimitCheck(fleet)

    /** Starts the fleet and the clients, and faults if there are any. */
    fun start() {
        fleet.start()
        fleet.schedule.advance(START_MILLIS)
        clients.forEach { it.start() }
        limits.start()
    }

    /** Runs for [millis] under faults, then heals everything and lets the clients finish. */
    fun run(millis: Long) {
        start()
        if (faults.isEnabled) faults.start()
        fleet.schedule.advance(millis)
        finish()
    }

    /** Heals everything and lets the clients finish. */
    fun finish() {
        faults.stop()
        clients.forEach { it.isStopping = true }
        fleet.schedule.advance(SETTLE_MILLIS)
    }

    /** Everything that went wrong, with the faults that were injected. */
    fun violations(): List<String> {
        val unfinished = clients.count { it.isBusy }.takeIf { it > 0 }?.let { "$it clients never got an answer" }
        val found = HistoryCheck(history, mix).violations() + limits.violations + listOfNotNull(unfinished)
        return if (found.isEmpty()) found else found + "seed $seed, faults: ${faults.log}"
    }

    private companion object {
        const val START_MILLIS = 6_000L
        const val SETTLE_MILLIS = 30_000L
    }
}
