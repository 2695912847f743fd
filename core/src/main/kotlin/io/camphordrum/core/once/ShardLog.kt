package io.camphordrum.core.once

/**
 * Knows which keys the objects of one shard hold.
 *
 * The objects form a chain: hour after hour, and part after part within an hour. Only the last one takes new claims,
 * and a writer must have seen every earlier one closed, so that two writers cannot add the same key to two objects.
 */
internal class ShardLog(private val shard: Int, private val retentionHours: Int) {
    /** The object that takes new claims, as last read or written. */
    class Head(val id: ClaimShardId, val value: ClaimShard, val version: Long)

    private class Closed(val keys: LongArray)

    private val closed = HashMap<ClaimShardId, Closed>()
    private val finished = HashSet<Long>()
    private var hour = Long.MIN_VALUE

    var head: Head? = null
        private set

    /** How many keys of closed objects are known. */
    val keyCount: Int get() = closed.values.sumOf { it.keys.size }

    /** Goes to hour [now] unless a later one is already in use, and forgets hours outside the retention. */
    fun advance(now: Long) {
        if (now <= hour) return
        hour = now
        head = null
        val oldest = oldest()
        closed.keys.removeAll { it.hour < oldest }
        finished.removeAll { it < oldest }
    }

    /** Returns the next object that must be read before claims can be written, or null when all are known. */
    fun missing(): ClaimShardId? {
        val unfinished = (oldest() until hour).firstOrNull { it !in finished }
        if (unfinished != null) return next(unfinished)
        return if (head == null) next(hour) else null
    }

    /** Tells whether claims may still be added to [id], which was read as [value], so that it must be sealed first. */
    fun mustSeal(id: ClaimShardId, value: ClaimShard?): Boolean =
        id.hour < hour && id.hour >= hour - SEALED_HOURS && (value == null || value.state == ClaimShardState.OPEN)

    /** Takes in what [id] holds. */
    fun learn(id: ClaimShardId, value: ClaimShard?, version: Long) {
        val shown = value ?: ClaimShard()
        if (id.hour > hour || id.hour < oldest()) return
        when {
            shown.state == ClaimShardState.CONTINUED -> close(id, shown)
            id.hour < hour -> {
                close(id, shown)
                finished += id.hour
            }
            shown.state == ClaimShardState.OPEN -> head = Head(id, shown, version)
            // Another daemon has gone on to a later hour.
            else -> advance(hour + 1)
        }
    }

    fun forgetHead() {
        head = null
    }

    /** Returns the closed objects that may hold [key]; equal hashes of different keys are possible. */
    fun candidates(key: ClaimKey): List<ClaimShardId> {
        val hash = hash(key)
        return closed.filterValues { it.keys.binarySearch(hash) >= 0 }.keys.toList()
    }

    private fun close(id: ClaimShardId, value: ClaimShard) {
        closed[id] = Closed(LongArray(value.claims.size) { hash(value.claims[it].key) }.apply { sort() })
        if (head?.id == id) head = null
    }

    private fun next(hour: Long): ClaimShardId {
        var id = ClaimShardId(hour, shard)
        while (id in closed) id = id.copy(part = id.part + 1)
        return id
    }

    // One hour more on each side, because the clocks of two daemons may differ by up to an hour.
    private fun oldest(): Long = hour - retentionHours - 2

    companion object {
        // No daemon writes to an older hour: clocks differ by less than an hour, and so do the ages of writes.
        const val SEALED_HOURS = 2

        fun hash(key: ClaimKey): Long {
            var h = -0x340d631b7bdddcdbL
            for (c in key.account.name) h = (h xor c.code.toLong()) * 0x100000001b3L
            h = (h xor -1L) * 0x100000001b3L
            for (c in key.key) h = (h xor c.code.toLong()) * 0x100000001b3L
            return h xor (h ushr 32)
        }
    }
}
