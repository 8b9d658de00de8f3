package dev.hibiscusreach.standins.slopes

import dev.hibiscusreach.core.event.ConnectionFailure
import dev.hibiscusreach.core.event.ControlAnswer
import dev.hibiscusreach.core.event.ControlCommand
import dev.hibiscusreach.core.event.Effect
import dev.hibiscusreach.core.event.Event
import dev.hibiscusreach.core.model.DatabaseGroup
import dev.hibiscusreach.core.model.ServerName
import dev.hibiscusreach.standins.database.DatabaseServerModel
import dev.hibiscusreach.standins.database.DatabaseServerSettings
import kotlinx.serialization.json.Json

/** The backend servers of a simulated fleet; they answer control commands and accept connections. */
internal class SimulatedServers(groups: List<DatabaseGroup>, private val time: SimulatedTime) {
    private val models: Map<ServerName, DatabaseServerModel> =
        groups.flatMap { it.servers }.associate {
            it.name to DatabaseServerModel(DatabaseServerSettings(it.name, it.connectionLimit, it.slots))
        }
    private val silent = mutableSetOf<ServerName>()
    private var nextCall = 0L

    /** Control commands since the start. */
    var commands = 0L
        private set

    /** JSON bytes of the control commands and answers since the start, without HTTP headers. */
    var bytes = 0L
        private set

    /** Lets [server] answer nothing any more, as if its network was cut. */
    fun silence(server: ServerName?) {
        silent += checkNotNull(server)
    }

    fun control(proxy: SimulatedProxy, effect: Effect.SendControlCommand) {
        commands++
        bytes += Json.encodeToString(ControlCommand.serializer(), effect.command).length
        if (effect.server in silent) {
            time.afterMillis(effect.timeout.value) {
                proxy.deliver(Event.ControlFailed(effect.call, effect.server, ConnectionFailure.TIMED_OUT))
            }
            return
        }
        val answer = models.getValue(effect.server).control(nextCall++, effect.command, time.nowMillis)
        time.after(ROUND_TRIP_MICROS) {
            if (answer != null) {
                bytes += Json.encodeToString(ControlAnswer.serializer(), answer).length
                proxy.deliver(Event.ControlAnswered(effect.call, effect.server, answer))
            }
        }
    }

    /** Opens the connection; commands on it are never answered. */
    fun open(proxy: SimulatedProxy, effect: Effect.OpenConnection) =
        time.after(SETUP_MICROS) { proxy.deliver(Event.ConnectionOpened(effect.connection)) }

    private companion object {
        const val ROUND_TRIP_MICROS = 2_000L
        const val SETUP_MICROS = 5_000L
    }
}
