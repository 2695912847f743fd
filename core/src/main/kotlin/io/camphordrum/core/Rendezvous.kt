package io.camphordrum.core

/**
 * Ranks candidates for a key by highest random weight, so that removing a candidate reassigns only its own keys.
 *
 * ```kotlin
 * val owner = Rendezvous.first("engine-3", members) { it.instance.name }
 * ```
 */
public object Rendezvous {
    /** Returns the candidate with the highest weight for [key], or null when there is none. */
    public fun <T : Any> first(key: String, candidates: Collection<T>, name: (T) -> String): T? {
        val seed = hash(key)
        return candidates.maxWithOrNull(compareBy<T> { mix(seed, hash(name(it))) }.thenBy(name))
    }

    /** Returns all candidates, the highest weight for [key] first. */
    public fun <T : Any> order(key: String, candidates: Collection<T>, name: (T) -> String): List<T> {
        val seed = hash(key)
        return candidates.sortedWith(compareByDescending<T> { mix(seed, hash(name(it))) }.thenBy(name))
    }

    // FNV-1a.
    internal fun hash(text: String): Long {
        var h = FNV_OFFSET
        for (c in text) h = (h xor c.code.toLong()) * FNV_PRIME
        return h
    }

    // Finaliser of SplitMix64, which spreads neighbouring inputs over all bits.
    internal fun mix(a: Long, b: Long): Long {
        var z = a * GOLDEN_GAMMA + b
        z = (z xor (z ushr 30)) * -0x40a7b892e31b1a47L
        z = (z xor (z ushr 27)) * -0x6b2fb644ecceee15L
        return z xor (z ushr 31)
    }

    private const val FNV_OFFSET = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L
    private const val GOLDEN_GAMMA = -0x61c8864680b583ebL
}
