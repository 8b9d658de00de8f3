package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.core.model.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** The head of the log of the primary of [term], from the answer to a command sent at [sentAt]. */
internal data class HeadSample(val sentAt: MonotonicTime, val position: Position, val term: Term)

/**
 * Samples of the primary's head in the order of their send times. A sample is verified once a majority answered in its
 * term to commands sent at or after its send time. This proves that no later primary had acknowledged a write before
 * the sample was sent.
 */
internal data class HeadSamples(
    val pending: PersistentList<HeadSample> = persistentListOf(),
    val verified: PersistentList<HeadSample> = persistentListOf(),
) {
    /** The newest verified sample, or null if none is verified yet. */
    val newest: HeadSample? get() = verified.lastOrNull()

    /** These samples with [sample], unless the last one was sent less than [MINIMUM_SPACING] before it. */
    fun adding(sample: HeadSample): HeadSamples {
        val last = pending.lastOrNull()
        val tooClose = last != null && last.term == sample.term && sample.sentAt < last.sentAt + MINIMUM_SPACING
        return if (tooClose) this else copy(pending = bounded(pending.add(sample)))
    }

    /** These samples after a majority answered in [term] to commands sent at or after [until]. */
    fun verifiedUntil(term: Term, until: MonotonicTime): HeadSamples {
        val passed = pending.takeWhile { it.term < term || it.sentAt <= until }
        if (passed.isEmpty()) return this
        val newlyVerified = passed.filter { it.term == term }
        return HeadSamples(
            pending = pending.subList(passed.size, pending.size).toPersistentList(),
            verified = bounded(newlyVerified.fold(verified) { list, sample -> append(list, sample) }),
        )
    }

    /** The newest verified sample that is not after [position]. */
    fun newestWithin(position: Position): HeadSample? = verified.lastOrNull { it.position <= position }

    // Of two samples with the same position only the newer one is kept, since it gives the lower age.
    private fun append(list: PersistentList<HeadSample>, sample: HeadSample): PersistentList<HeadSample> =
        if (list.lastOrNull()?.position == sample.position) {
            list.set(list.size - 1, sample)
        } else {
            list.add(sample)
        }

    private fun bounded(list: PersistentList<HeadSample>): PersistentList<HeadSample> =
        if (list.size <= MAXIMUM_SIZE) list else thinned(list).takeLast(REDUCED_SIZE).toPersistentList()

    // The gap between two samples grows with their age, so that a bounded list covers hours. A gap makes an age appear
    // higher by at most 1/PRECISION, never lower.
    private fun thinned(list: List<HeadSample>): List<HeadSample> {
        val newest = list.last().sentAt
        val kept = mutableListOf(list.first())
        for ((sample, next) in list.drop(1).zipWithNext()) {
            val gap = next.sentAt - kept.last().sentAt
            if (gap * PRECISION > newest - next.sentAt) kept += sample
        }
        return kept + list.last()
    }

    private companion object {
        const val MAXIMUM_SIZE = 256
        const val REDUCED_SIZE = 224
        const val PRECISION = 8
        val MINIMUM_SPACING = 20.milliseconds
    }
}
