package io.camphordrum.core.config

import kotlinx.serialization.json.Json
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import java.util.TreeMap
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class TreePropertiesTest {
    private fun randomRevisions(random: Random, steps: Int): List<Tree> {
        val trees = mutableListOf(Tree.empty())
        repeat(steps) {
            val edits = randomEdits(trees.last(), random, 1 + random.nextInt(120))
            trees += trees.last().with(*edits.toTypedArray())
        }
        return trees
    }

    /** Guards against edits that are lost, duplicated or applied to the wrong path when two trees are compared. */
    @Property(tries = 60, seed = "11")
    fun `applying a diff gives the other tree`(
        @ForAll seed: Long,
        @ForAll @IntRange(min = 1, max = 12) steps: Int,
    ) {
        val trees = randomRevisions(Random(seed), steps)
        val from = trees.random(Random(seed))
        val to = trees.last()
        val edits = from.diff(to)
        if (edits.isEmpty()) return assertEquals(from.allEntries(), to.allEntries())
        val applied = assertIs<ApplyResult.Applied>(from.apply(change("d", from.revision, *edits.toTypedArray()))).tree
        assertEquals(to.allEntries(), applied.allEntries())
        assertEquals(emptyList(), applied.diff(to))
    }

    /** Guards against pages that depend on history, which would make daemons rewrite unchanged chunks. */
    @Property(tries = 60, seed = "12")
    fun `equal trees have equal chunks whatever their history`(@ForAll seed: Long) {
        val tree = randomRevisions(Random(seed), 8).last()
        val rebuilt = assertIs<ApplyResult.Applied>(Tree.of(tree.revision, tree.toDeclaration())).tree
        val chunks = TreeChunks(Json)
        assertEquals(chunks.addresses(rebuilt), chunks.addresses(tree))
    }

    /** Guards against a change that rewrites more than the adjacent pages, and against chunks above 256 KB. */
    @Property(tries = 20, seed = "13")
    fun `one edit rewrites at most a few chunks and no chunk is too large`(@ForAll seed: Long) {
        val random = Random(seed)
        val many = (0 until 6_000).map { put("w/adapters/m$it", adapter(1 + random.nextInt(50))) }
        val versions = (1_000_000_000..1_000_000_999).toList()
        val large = (0 until 200).map { put("w/adapters/l$it", Adapter(adapter(1).base, versions[0], versions)) }
        val tree = Tree.empty().with(*(many + large).toTypedArray())
        val chunks = TreeChunks(Json)
        val known = chunks.addresses(tree).toSet()
        val path = "w/adapters/m${random.nextInt(6_000)}"
        for (edit in listOf(put(path, adapter(99)), put("$path-new", adapter(1)), Edit.Remove(path))) {
            assertTrue(chunks.encode(tree.with(edit), known).size <= 3, "$edit")
        }
        assertTrue(chunks.encode(tree, emptySet()).values.all { it.toByteArray().size <= 256 * 1_024 })
    }

    /** Guards against lost keys and wrong sizes at page boundaries. */
    @Property(tries = 60, seed = "14")
    fun `a paged map has the same content as a sorted map`(@ForAll seed: Long) {
        val random = Random(seed)
        val model = TreeMap<String, Int>()
        var map = PagedMap<Int> { _, value -> value * 100 }
        repeat(1_500) {
            val key = "k${random.nextInt(2_000)}"
            val value = if (random.nextInt(3) == 0) null else random.nextInt(100)
            if (value == null) model.remove(key) else model[key] = value
            map = map.update(key, value)
        }
        assertEquals(model.size, map.size)
        assertEquals(
            model.entries.map {
                it.key to it.value
            },
            buildList { map.forEach { key, value -> add(key to value) } },
        )
        for (i in 0 until 2_000) assertEquals(model["k$i"], map["k$i"])
        assertEquals(model.subMap("k2", "k4").keys.toList(), map.keys("k2", "k4"))
    }
}
