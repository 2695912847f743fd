package io.camphordrum.core.once

/**
 * Indexes the keys in the objects of one shard.
 *
 * The objects form a chain: hour after hour, and part after part within an hour. Only the last one accepts new claims,
 * and a writer must have read every earlier one as closed, so that two writers cannot add the same key to two objects.
 */
internal class ShardIndex(private val shard: Int, private val retentionHours: Int) {
    /** The object that accepts new claims, as last read or written. */
    class Head(val id: ClaimShardId, val value: ClaimShard, val version: Long)

    private class ClosedObject(val keys: LongArray)

    private val closedObjects = HashMap<ClaimShardId, ClosedObject>()
    private val closedHours = HashSet<Long>()
    private var hour = Long.MIN_VALUE

    var head: Head? = null
        private set

    /** The number of indexed keys of closed objects. */
    val keyCount: Int get() = closedObjects.values.sumOf { it.keys.size }

    /** Advances to [newHour] unless a later hour is already in use, and removes hours outside the retention. */
    fun advance(newHour: Long) {
        if (newHour <= hour) return
        hour = newHour
        head = null
        val oldestHour = oldestHour()
        closedObjects.keys.removeAll { it.hour < oldestHour }
        closedHours.removeAll { it < oldestHour }
    }

    /** Returns the next object to read before claims can be written, or null if every object has been read. */
    fun nextUnread(): ClaimShardId? {
        val openHour = (oldestHour() until hour).firstOrNull { it !in closedHours }
        if (openHour != null) return nextPart(openHour)
        return if (head == null) nextPart(hour) else null
    }

    /** Returns whether [id], read as [value], must be sealed first because claims may still be added to it. */
    fun mustSeal(id: ClaimShardId, value: ClaimShard?): Boolean =
        id.hour < hour && id.hour >= hour - SEALED_HOURS && (value == null || value.state == ClaimShardState.OPEN)

    /** Records that [id] contains [value] at [version]. */
    fun record(id: ClaimShardId, value: ClaimShard?, version: Long) {
        val content = value ?: ClaimShard()
        if (id.hour > hour || id.hour < oldestHour()) return
        when {
            content.state == ClaimShardState.CONTINUED -> recordClosed(id, content)
            id.hour < hour -> {
                recordClosed(id, content)
                closedHours += id.hour
            }
            content.state == ClaimShardState.OPEN -> head = Head(id, content, version)
            // Another daemon has advanced to a later hour.
            else -> advance(hour + 1)
        }
    }

    /** Discards the cached head, so that it is read again before the next write. */
    fun invalidateHead() {
        head = null
    }

    /** Returns the closed objects that may contain [key]; hashes of different keys may collide. */
    fun possibleObjects(key: ClaimKey): List<ClaimShardId> {
        val hash = hash(key)
        return closedObjects.filterValues { it.keys.binarySearch(hash) >= 0 }.keys.toList()
    }

    private fun recordClosed(id: ClaimShardId, value: ClaimShard) {
        closedObjects[id] = ClosedObject(LongArray(value.claims.size) { hash(value.claims[it].key) }.apply { sort() })
        if (head?.id == id) head = null
    }

    private fun nextPart(hour: Long): ClaimShardId {
        var id = ClaimShardId(hour, shard)
        while (id in closedObjects) id = id.copy(part = id.part + 1)
        return id
    }

    // Includes two more hours, because the clocks of two daemons may differ by up to an hour in either direction.
    private fun oldestHour(): Long = hour - retentionHours - 2

    companion object {
        // No daemon writes to an older hour: clocks differ by less than an hour, and writes take effect within an hour.
        const val SEALED_HOURS = 2

        fun hash(key: ClaimKey): Long {
            var hash = -0x340d631b7bdddcdbL
            for (char in key.account.name) hash = (hash xor char.code.toLong()) * 0x100000001b3L
            hash = (hash xor -1L) * 0x100000001b3L
            for (char in key.key) hash = (hash xor char.code.toLong()) * 0x100000001b3L
            return hash xor (hash ushr 32)
        }
    }
}
