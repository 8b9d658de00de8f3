package dev.hibiscusreach.core.group

import dev.hibiscusreach.core.model.MonotonicTime
import dev.hibiscusreach.core.model.Position
import dev.hibiscusreach.core.model.Term
import dev.hibiscusreach.core.model.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/** The head of the primary of [term], asked for at [sentAt]. */
internal data class HeadSample(val sentAt: MonotonicTime, val position: Position, val term: Term)

/**
 * Samples of the primary's head in the order of their send times. A sample is verified once a majority answered in its
 * term to something sent at or after its send time: until then no later primary can have acknowledged a write.
 */
internal data class HeadSamples(
    val pending: PersistentList<HeadSample> = persistentListOf(),
    val verified: PersistentList<HeadSample> = persistentListOf(),
) {
    /** The newest verified sample. */
    val newest: HeadSample? get() = verified.lastOrNull()

    /** These samples with [sample], unless the last one is almost as new. */
    fun including(sample: HeadSample): HeadSamples {
        val last = pending.lastOrNull()
        val tooClose = last != null && last.term == sample.term && sample.sentAt < last.sentAt + SPACING
        return if (tooClose) this else copy(pending = thinned(pending.add(sample)))
    }

    /** These samples after a majority answered in [term] to something sent at or after [until]. */
    fun verifiedUntil(term: Term, until: MonotonicTime): HeadSamples {
        val passed = pending.takeWhile { it.term < term || it.sentAt <= until }
        if (passed.isEmpty()) return this
        val newlyVerified = passed.filter { it.term == term }
        return HeadSamples(
            pending = pending.subList(passed.size, pending.size).toPersistentList(),
            verified = thinned(newlyVerified.fold(verified) { list, sample -> append(list, sample) }),
        )
    }

    /** The newest verified sample whose position data at [position] includes. */
    fun newestWithin(position: Position): HeadSample? = verified.lastOrNull { it.position <= position }

    // At an unchanged position the newer sample proves more.
    private fun append(list: PersistentList<HeadSample>, sample: HeadSample): PersistentList<HeadSample> =
        if (list.lastOrNull()?.position == sample.position) {
            list.set(list.size - 1, sample)
        } else {
            list.add(sample)
        }

    // Older samples become sparser, so that a bounded list reaches far back; ages only get more cautious by it.
    private fun thinned(list: PersistentList<HeadSample>): PersistentList<HeadSample> =
        if (list.size <= MAXIMUM_SIZE) {
            list
        } else {
            list.filterIndexed { index, _ -> index >= list.size / 2 || index % 2 == 0 }.toPersistentList()
        }

    private companion object {
        const val MAXIMUM_SIZE = 128
        val SPACING = 20.milliseconds
    }
}
