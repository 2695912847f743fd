package io.camphordrum.core.config

/**
 * Holds a run of neighbouring entries; [keys] are sorted and never empty.
 *
 * @property chunk the address of the encoded page, filled in when it is first computed.
 */
internal class Page<V : Any>(val keys: Array<String>, val values: Array<Any>) {
    @Volatile
    var chunk: String? = null

    @Suppress("UNCHECKED_CAST")
    fun value(index: Int): V = values[index] as V
}

/**
 * A persistent sorted map in pages: an update copies one page and the directory.
 *
 * Page borders depend on the content only. Two maps with the same entries therefore have the same pages, whatever
 * their history, and an update moves no border further than the next one.
 *
 * @property weight estimates the encoded size of an entry in bytes.
 */
internal class PagedMap<V : Any> private constructor(
    private val weight: (String, V) -> Int,
    val pages: Array<Page<V>>,
    val size: Int,
) {
    constructor(weight: (String, V) -> Int) : this(weight, emptyArray(), 0)

    operator fun get(key: String): V? {
        val page = pages.getOrNull(pageOf(key)) ?: return null
        val at = page.keys.binarySearch(key)
        return if (at < 0) null else page.value(at)
    }

    /** Calls [action] for all entries in the order of their keys. */
    inline fun forEach(action: (String, V) -> Unit) {
        for (page in pages) for (i in page.keys.indices) action(page.keys[i], page.value(i))
    }

    /** Returns this map with [updates]; null removes. */
    fun update(updates: Map<String, V?>): PagedMap<V> {
        if (updates.isEmpty()) return this
        if (updates.size > maxOf(BULK, size / 4)) return rebuild(updates)
        return updates.entries.fold(this) { map, (key, value) -> map.update(key, value) }
    }

    fun update(key: String, value: V?): PagedMap<V> {
        if (pages.isEmpty()) return if (value == null) this else rebuild(mapOf(key to value))
        val index = pageOf(key)
        val page = pages[index]
        val at = page.keys.binarySearch(key)
        if (value == null && at < 0) return this
        val cutter = Cutter(page.keys.size + 1)
        val insertAt = if (at < 0) -at - 1 else at
        for (i in 0 until insertAt) cutter.add(page.keys[i], page.value(i))
        if (value != null) cutter.add(if (at < 0) key else page.keys[at], value)
        for (i in (if (at < 0) insertAt else at + 1) until page.keys.size) cutter.add(page.keys[i], page.value(i))
        // Later pages stay as they are from the first old border that is a border again.
        var next = index + 1
        while (!cutter.atBorder && next < pages.size) cutter.addAll(pages[next++])
        cutter.finish()
        val grown = (if (value == null) -1 else 0) + (if (at < 0) 1 else 0)
        return PagedMap(weight, splice(index, next, cutter.out), size + grown)
    }

    /** Returns the keys from [from] up to, but without, [until]. */
    fun keys(from: String, until: String): List<String> {
        val out = ArrayList<String>()
        for (index in pageOf(from) until pages.size) {
            if (pages[index].keys[0] >= until) break
            pages[index].keys.filterTo(out) { it >= from && it < until }
        }
        return out
    }

    private fun rebuild(updates: Map<String, V?>): PagedMap<V> {
        val all = java.util.TreeMap<String, V>()
        forEach { key, value -> all[key] = value }
        for ((key, value) in updates) if (value == null) all.remove(key) else all[key] = value
        val cutter = Cutter(MAX_COUNT)
        for ((key, value) in all) cutter.add(key, value)
        cutter.finish()
        return PagedMap(weight, cutter.out.toTypedArray(), all.size)
    }

    private fun splice(from: Int, until: Int, middle: List<Page<V>>): Array<Page<V>> {
        val out = ArrayList<Page<V>>(pages.size + middle.size)
        for (i in 0 until from) out += pages[i]
        out += middle
        for (i in until until pages.size) out += pages[i]
        return out.toTypedArray()
    }

    // The last page whose first key is not above the key; the first page when there is none.
    private fun pageOf(key: String): Int {
        var low = 0
        var high = pages.size - 1
        while (low < high) {
            val middle = (low + high + 1) ushr 1
            if (pages[middle].keys[0] <= key) low = middle else high = middle - 1
        }
        return low
    }

    private inner class Cutter(capacity: Int) {
        val out = ArrayList<Page<V>>()
        private val keys = ArrayList<String>(capacity)
        private val values = ArrayList<Any>(capacity)
        private var bytes = 0

        val atBorder: Boolean get() = keys.isEmpty()

        fun add(key: String, value: V) {
            val entryBytes = weight(key, value)
            if (bytes + entryBytes > MAX_PAGE_BYTES && !atBorder) finish()
            keys += key
            values += value
            bytes += entryBytes
            if ((key.hashCode() * HASH_FACTOR) ushr HASH_SHIFT == 0 || keys.size == MAX_COUNT) finish()
        }

        fun addAll(page: Page<V>) {
            for (i in page.keys.indices) add(page.keys[i], page.value(i))
        }

        fun finish() {
            if (atBorder) return
            out += Page(keys.toTypedArray(), values.toTypedArray())
            keys.clear()
            values.clear()
            bytes = 0
        }
    }

    private companion object {
        const val BULK = 64
        const val MAX_COUNT = 1_024

        // Half of what a chunk may have, so that an estimate that is too low does no harm.
        const val MAX_PAGE_BYTES = 128 * 1_024

        // One key in 256 ends a page: with 78,000 adapters about 300 pages of 25 KB.
        const val HASH_FACTOR = -0x61c88647
        const val HASH_SHIFT = 24
    }
}
