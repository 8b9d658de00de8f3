package dev.hibiscusreach.systemtests.fleet

import dev.hibiscusreach.core.event.SessionAnswer
import dev.hibiscusreach.core.event.SessionCommand
import dev.hibiscusreach.core.model.CallerName
import dev.hibiscusreach.core.reducer.ProxySettings

/** A workload on a fleet, under faults, with a calm end in which every operation gets its answer. */
class Scenario(
    deployment: Deployment,
    val seed: Long,
    val mix: WorkloadMix = WorkloadMix(),
    kinds: List<Fault> = emptyList(),
    adjust: (ProxySettings) -> ProxySettings = { it },
    callers: List<CallerName> = listOf(Deployment.RELAXED_CALLER, Deployment.STRICT_CALLER),
) {
    val fleet = Fleet(deployment, seed, adjust = adjust)
    val history = History()
    private val database = deployment.configuration.inventory.databaseGroups.first().name
    val faults = Faults(fleet, database, kinds)
    private val clients =
        (0 until mix.clients).map { number ->
            TestClient(number, callers[number % callers.size], database, fleet, history, mix)
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
        val found =
            HistoryCheck(history, mix).violations() +
                limits.violations +
                falseRefusals() +
                listOfNotNull(unfinished)
        return if (found.isEmpty()) found else found + "seed $seed, faults: ${faults.log}"
    }

    // The idempotency record of a write says whether it ran, whatever its caller was told.
    private fun falseRefusals(): List<String> {
        val primary = faults.primary() ?: return listOf("there is no primary at the end")
        val term = primary.model.status(fleet.schedule.nowMillis).term
        val session = CHECKING_SESSION
        primary.model.openSession(session)
        return history.refusedWrites
            .filter { identifier ->
                val answer = primary.model.execute(
                    session,
                    SessionCommand.Resolve(term, identifier),
                    fleet.schedule.nowMillis
                )
                answer is SessionAnswer.Done
            }.map { "$it was refused as not run, but ran" }
    }

    private companion object {
        const val CHECKING_SESSION = -1L

        const val START_MILLIS = 6_000L
        const val SETTLE_MILLIS = 30_000L
    }
}
