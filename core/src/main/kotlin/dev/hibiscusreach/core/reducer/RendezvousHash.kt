package dev.hibiscusreach.core.reducer

import dev.hibiscusreach.core.model.Endpoint

/** Rendezvous hashing: every process ranks the same candidates for a key in the same order. */
object RendezvousHash {
    private const val FNV_OFFSET = -3750763034362895579L
    private const val FNV_PRIME = 1099511628211L
    private const val FINALIZER_MULTIPLIER_1 = -49064778989728563L
    private const val FINALIZER_MULTIPLIER_2 = -4265267296055464877L
    private const val FINALIZER_SHIFT = 33

    /** [candidates] in the order in which they should serve [key]. */
    fun <T> rank(key: String, candidates: Collection<T>, endpoint: (T) -> Endpoint): List<T> =
        candidates.sortedWith(compareByDescending<T> { weight(key, endpoint(it)) }.thenBy { endpoint(it) })

    /** The candidate that should serve [key] first, or null if there is none. */
    fun <T> first(key: String, candidates: Collection<T>, endpoint: (T) -> Endpoint): T? =
        candidates.maxWithOrNull(compareBy<T> { weight(key, endpoint(it)) }.thenByDescending { endpoint(it) })

    private fun weight(key: String, endpoint: Endpoint): Long = finalize64(hash("$key|$endpoint"))

    private fun hash(text: String): Long =
        text.fold(FNV_OFFSET) { hash, character -> (hash xor character.code.toLong()) * FNV_PRIME }

    // FNV-1a alone ranks similar addresses in similar order; the 64-bit finalizer of MurmurHash3 decorrelates them.
    private fun finalize64(hash: Long): Long {
        val first = (hash xor (hash ushr FINALIZER_SHIFT)) * FINALIZER_MULTIPLIER_1
        val second = (first xor (first ushr FINALIZER_SHIFT)) * FINALIZER_MULTIPLIER_2
        return second xor (second ushr FINALIZER_SHIFT)
    }
}
