package io.camphordrum.core.config

/**
 * Holds adjacent entries; [keys] are sorted and never empty.
 *
 * @property chunkAddress address of the encoded page; set when it is first computed.
 */
internal class Page<V : Any>(val keys: Array<String>, val values: Array<Any>) {
    @Volatile
    var chunkAddress: String? = null

    @Suppress("UNCHECKED_CAST")
    fun value(index: Int): V = values[index] as V
}

/**
 * Maps sorted keys to values in immutable pages: an update copies the affected pages and the page array.
 *
 * Page boundaries depend on the content only. Two maps with the same entries therefore have the same pages, whatever
 * their history, and an update changes only the pages up to the next unchanged boundary.
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
        val position = page.keys.binarySearch(key)
        return if (position < 0) null else page.value(position)
    }

    /** Calls [action] for all entries in the order of their keys. */
    inline fun forEach(action: (String, V) -> Unit) {
        for (page in pages) for (i in page.keys.indices) action(page.keys[i], page.value(i))
    }

    /** Returns this map with [updates]; a null value removes the key. */
    fun update(updates: Map<String, V?>): PagedMap<V> {
        if (updates.isEmpty()) return this
        if (updates.size > maxOf(MIN_REBUILD_UPDATES, size / 4)) return rebuild(updates)
        return updates.entries.fold(this) { map, (key, value) -> map.update(key, value) }
    }

    fun update(key: String, value: V?): PagedMap<V> {
        if (pages.isEmpty()) return if (value == null) this else rebuild(mapOf(key to value))
        val index = pageOf(key)
        val page = pages[index]
        val position = page.keys.binarySearch(key)
        if (value == null && position < 0) return this
        val builder = PageBuilder(page.keys.size + 1)
        val insertAt = if (position < 0) -position - 1 else position
        for (i in 0 until insertAt) builder.add(page.keys[i], page.value(i))
        if (value != null) builder.add(if (position < 0) key else page.keys[position], value)
        for (i in (if (position < 0) insertAt else position + 1) until page.keys.size) {
            builder.add(page.keys[i], page.value(i))
        }
        // Pages after the first old boundary that is still a boundary are reused unchanged.
        var nextPage = index + 1
        while (!builder.atPageBoundary && nextPage < pages.size) builder.addAll(pages[nextPage++])
        builder.finish()
        val sizeDelta = (if (value == null) -1 else 0) + (if (position < 0) 1 else 0)
        return PagedMap(weight, splice(index, nextPage, builder.pages), size + sizeDelta)
    }

    /** Returns the keys from [from] inclusive to [until] exclusive. */
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
        val builder = PageBuilder(MAX_PAGE_ENTRIES)
        for ((key, value) in all) builder.add(key, value)
        builder.finish()
        return PagedMap(weight, builder.pages.toTypedArray(), all.size)
    }

    private fun splice(from: Int, until: Int, replacement: List<Page<V>>): Array<Page<V>> {
        val spliced = ArrayList<Page<V>>(pages.size + replacement.size)
        for (i in 0 until from) spliced += pages[i]
        spliced += replacement
        for (i in until until pages.size) spliced += pages[i]
        return spliced.toTypedArray()
    }

    // Returns the index of the last page whose first key is not above the key; 0 when there is none.
    private fun pageOf(key: String): Int {
        var low = 0
        var high = pages.size - 1
        while (low < high) {
            val middle = (low + high + 1) ushr 1
            if (pages[middle].keys[0] <= key) low = middle else high = middle - 1
        }
        return low
    }

    private inner class PageBuilder(capacity: Int) {
        val pages = ArrayList<Page<V>>()
        private val keys = ArrayList<String>(capacity)
        private val values = ArrayList<Any>(capacity)
        private var bytes = 0

        val atPageBoundary: Boolean get() = keys.isEmpty()

        fun add(key: String, value: V) {
            val entryBytes = weight(key, value)
            if (bytes + entryBytes > MAX_PAGE_BYTES && !atPageBoundary) finish()
            keys += key
            values += value
            bytes += entryBytes
            if ((key.hashCode() * HASH_FACTOR) ushr HASH_SHIFT == 0 || keys.size == MAX_PAGE_ENTRIES) finish()
        }

        fun addAll(page: Page<V>) {
            for (i in page.keys.indices) add(page.keys[i], page.value(i))
        }

        fun finish() {
            if (atPageBoundary) return
            pages += Page(keys.toTypedArray(), values.toTypedArray())
            keys.clear()
            values.clear()
            bytes = 0
        }
    }

    private companion object {
        const val MIN_REBUILD_UPDATES = 64
        const val MAX_PAGE_ENTRIES = 1_024

        // Half the maximum chunk size, so that a chunk fits even if the estimate is too low.
        const val MAX_PAGE_BYTES = 128 * 1_024

        // One key in 256 ends a page: 78,000 adapters, for example, take about 300 pages of 25 KB each.
        const val HASH_FACTOR = -0x61c88647
        const val HASH_SHIFT = 24
    }
}
