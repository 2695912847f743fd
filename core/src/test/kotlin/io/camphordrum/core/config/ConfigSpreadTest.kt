package io.camphordrum.core.config

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ConfigSpreadTest {
    private fun record(tree: Tree, vararg edits: Edit): Pair<Tree, ChangeRecord> {
        val change = change("c${tree.revision + 1}", tree.revision, *edits)
        return tree.with(*edits) to ChangeRecord(tree.revision + 1, change)
    }

    private val network = SpreadNetwork(Random(1))
    private val start = network.spreads.keys.first()
    private val base = Tree.empty().with(put("accounts/demo", Account(1, 1)))

    @Nested
    inner class Pushing {
        @Test
        fun `a change reaches both data centres without a notice`() {
            val (tree, record) = record(Tree.empty(), put("accounts/demo", Account(1, 1)))
            network.install(start, tree, listOf(record))
            while (network.flying.isNotEmpty()) network.deliver(0)
            assertEquals(setOf(1L), network.spreads.values.map { it.tree.revision }.toSet())
        }

        @Test
        fun `a missed change is found by the next notices`() {
            val (tree, record) = record(Tree.empty(), put("accounts/demo", Account(1, 1)))
            network.install(start, tree, listOf(record))
            network.flying.clear()
            network.calm(ticks = 100)
            assertEquals(setOf(1L), network.spreads.values.map { it.tree.revision }.toSet())
        }

        @Test
        fun `a data centre that is cut off catches up when it is joined again`() {
            val (tree, record) = record(Tree.empty(), put("accounts/demo", Account(1, 1)))
            network.cut = { it.from.instance.name[0] != it.to.instance.name[0] }
            network.install(start, tree, listOf(record))
            network.flying.clear()
            network.calm(ticks = 100)
            fun revisions() = network.centres.values.map { centre ->
                centre.map { network.spreads.getValue(it).tree.revision }.toSet()
            }
            assertEquals(listOf(setOf(1L), setOf(0L)), revisions())
            network.cut = { false }
            network.calm(ticks = 100)
            assertEquals(listOf(setOf(1L), setOf(1L)), revisions())
        }

        @Test
        fun `nothing is resent while nothing changes`() {
            network.calm(ticks = 100)
            // Per daemon in 10 s: 20 notices to its own data centre and 5 to the other.
            assertTrue(network.sent <= 8 * 25, "${network.sent}")
        }
    }

    @Nested
    inner class CatchingUp {
        private val many = (0 until 20_000).map { put("w/adapters/m$it", adapter(1)) }.toTypedArray()

        @Test
        fun `a daemon that starts late gets the whole tree from a peer in frames below the limit`() {
            val (tree, record) = record(base, *many)
            network.install(start, tree, listOf(record))
            network.calm(ticks = 200)
            for (spread in network.spreads.values) assertEquals(tree.all(), spread.tree.all())
            assertTrue(network.largest < 1 shl 20, "${network.largest}")
            assertEquals(emptyList(), network.faults)
        }

        @Test
        fun `a large copy is overtaken by a newer revision and still ends`() {
            val (tree, record) = record(base, *many)
            network.install(start, tree, listOf(record))
            repeat(300) { network.disturb() }
            val (next, more) = record(tree, put("w/adapters/m5", adapter(9)))
            network.install(start, next, listOf(more))
            network.calm(ticks = 300)
            assertEquals(setOf(next.revision), network.spreads.values.map { it.tree.revision }.toSet())
        }

        @Test
        fun `a chunk that nobody asked for is ignored`() {
            val spread = network.spreads.getValue(start)
            val peer = network.spreads.keys.last()
            assertEquals(emptyList(), spread.receive(0, peer, ConfigMessage.Chunk(5, "{}")))
            assertEquals(0, spread.tree.revision)
        }

        @Test
        fun `changes that do not fit are reported and replaced by a full copy`() {
            val peer = network.spreads.keys.first { it != start }
            network.install(peer, base, emptyList())
            network.flying.clear()
            val wrong = ChangeRecord(1, change("c1", 0, Edit.Remove("accounts/none")))
            network.take(
                start,
                network.spreads.getValue(start).receive(0, peer, ConfigMessage.Changes(1, listOf(wrong))),
            )
            assertEquals(1, network.faults.size)
            network.calm(ticks = 30)
            assertEquals(base.all(), network.spreads.getValue(start).tree.all())
        }
    }

    @Nested
    inner class Confirming {
        @Test
        fun `a peer with the same revision confirms it and an older one does not`() {
            val spread = network.spreads.getValue(start)
            val peer = network.spreads.keys.last()
            network.install(start, base, emptyList())
            spread.receive(5, peer, ConfigMessage.Notice(0))
            assertNull(spread.confirmedNanos)
            spread.receive(7, peer, ConfigMessage.Notice(1))
            assertEquals(7, spread.confirmedNanos)
        }

        @Test
        fun `a daemon that hears nobody confirms nothing`() {
            network.cut = { it.from == start || it.to == start }
            network.calm(ticks = 50)
            assertNull(network.spreads.getValue(start).confirmedNanos)
            assertNotNull(network.spreads.values.last().confirmedNanos)
        }
    }

    /** Guards against a daemon that goes back, skips into a wrong tree, or never catches up. */
    @Property(tries = 150, seed = "31")
    fun `no daemon reverts and all converge`(@ForAll seed: Long) {
        val random = Random(seed)
        val options = SpreadOptions(logRecords = 1 + random.nextInt(8))
        val disturbed = SpreadNetwork(random, options = options)
        val trees = mutableListOf(Tree.empty())
        val records = ArrayList<ChangeRecord>()
        repeat(25) {
            val (tree, record) = record(trees.last(), *randomEdits(trees.last(), random, 4).toTypedArray())
            trees += tree
            records += record
            val watcher = disturbed.spreads.keys.random(random)
            val known = disturbed.spreads.getValue(watcher).tree.revision.toInt()
            // A watcher that skipped revisions knows no records that lead from its own.
            disturbed.install(watcher, tree, if (random.nextBoolean()) records.drop(known) else emptyList())
            repeat(random.nextInt(40)) { disturbed.disturb() }
            // A read of the platform that ends late brings a revision that was overtaken.
            disturbed.install(disturbed.spreads.keys.random(random), trees.random(random), emptyList())
        }
        disturbed.calm(ticks = 150)
        for ((member, spread) in disturbed.spreads) {
            assertEquals(trees.last().all(), spread.tree.all(), "$member")
            val revisions = disturbed.installed.getValue(member)
            assertEquals(revisions.sorted().distinct(), revisions, "$member")
        }
        assertEquals(emptyList(), disturbed.faults)
        assertEquals(emptyList(), disturbed.reverted)
    }
}
