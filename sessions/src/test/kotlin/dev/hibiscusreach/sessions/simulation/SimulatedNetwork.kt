package dev.hibiscusreach.sessions.simulation

import dev.hibiscusreach.core.model.ServerName
import java.util.random.RandomGenerator

/** A fault that lasts for some time. */
internal sealed interface Fault {
    /** A host reaches neither the store nor its peers; it keeps its connections to callers and servers. */
    data class HostCut(val node: String, val refuses: Boolean = false) : Fault

    /** Two hosts do not reach each other. */
    data class PairCut(val first: String, val second: String, val refuses: Boolean) : Fault

    /** Calls of a host to a server get no answer. */
    data class ServerCut(val node: String, val server: ServerName) : Fault

    /** A host handles no events; they queue up. */
    data class Freeze(val node: String) : Fault

    /** Calls of a host to the store are late or lost, also after they have taken effect. */
    data class StoreTrouble(val node: String) : Fault

    /** Promotion requests are late or lost, also after they have taken effect. */
    data object PromotionTrouble : Fault

    /** The primary at the begin of the fault is down. */
    data object PrimaryCrash : Fault

    /** The primary at the begin of the fault leaves, ends, and returns with its log. */
    data object PrimaryLeave : Fault

    /** The proxy of a host is killed, and started anew at the end of the fault. */
    data class ProxyRestart(val node: String) : Fault

    /** The proxy of a host is asked to stop, and started anew at the end of the fault. */
    data class ProxyStop(val node: String) : Fault
}

/** Whether a message arrives, is lost, or is answered with a reset. */
internal enum class Reach { OPEN, SILENT, REFUSED }

/** What the active [faults] do to messages. */
internal class SimulatedNetwork(private val random: RandomGenerator = RandomGenerator.getDefault()) {
    val faults = mutableListOf<Fault>()

    fun toStore(node: String): Reach = reach { it is Fault.HostCut && it.node == node }

    fun between(first: String, second: String): Reach {
        val pair = setOf(first, second)
        return reach { fault ->
            when (fault) {
                is Fault.HostCut -> fault.node in pair
                is Fault.PairCut -> setOf(fault.first, fault.second) == pair
                else -> false
            }
        }
    }

    fun isBlocked(node: String, server: ServerName): Boolean = Fault.ServerCut(node, server) in faults

    fun isFrozen(node: String): Boolean = Fault.Freeze(node) in faults

    /** The delay of a message from or to the store; null if it is lost. */
    fun storeDelay(node: String, usual: Long): Long? = delay(Fault.StoreTrouble(node), usual)

    /** The delay of a promotion request or its answer; null if it is lost. */
    fun promotionDelay(usual: Long): Long? = delay(Fault.PromotionTrouble, usual)

    private fun delay(trouble: Fault, usual: Long): Long? =
        when {
            trouble !in faults -> usual
            random.nextInt(LOST_OF) == 0 -> null
            else -> usual + random.nextLong(MAXIMUM_DELAY_MILLIS)
        }

    private fun reach(isCut: (Fault) -> Boolean): Reach {
        val cuts = faults.filter(isCut)
        return when {
            cuts.isEmpty() -> Reach.OPEN
            cuts.all { it is Fault.HostCut && it.refuses || it is Fault.PairCut && it.refuses } -> Reach.REFUSED
            else -> Reach.SILENT
        }
    }

    private companion object {
        const val LOST_OF = 4
        const val MAXIMUM_DELAY_MILLIS = 2_500L
    }
}
