package dev.hibiscusreach.sessions.model

import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/**
 * A revision of the store. A store that is restored from a copy enters the next [era] and gives out the same [number]s
 * again, so revisions are ordered by their era first.
 */
data class Revision(
    /** The number that the store gave out. */
    val number: Long,
    /** Number of the store's era; 0 if the store does not name it. */
    val era: Long = 0,
) : Comparable<Revision> {
    /** A number that orders like this revision. */
    val ordinal: Long get() = firstOrdinal(era) + number

    override fun compareTo(other: Revision): Int = compareValuesBy(this, other, Revision::era, Revision::number)

    override fun toString(): String = "$era.$number"

    companion object {
        /** Bits of an ordinal for the number within an era; more than a store changes between two restorations. */
        private const val NUMBER_BITS = 40

        /** The lowest ordinal of [era]; above those of all earlier eras. */
        fun firstOrdinal(era: Long): Long = era shl NUMBER_BITS
    }
}

/** Encodes the number of a revision only, which is the form that earlier builds understand. */
object RevisionNumberSerializer : KSerializer<Revision> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("RevisionNumber", PrimitiveKind.LONG)

    override fun serialize(encoder: Encoder, value: Revision) = encoder.encodeLong(value.number)

    override fun deserialize(decoder: Decoder): Revision = Revision(decoder.decodeLong())
}
