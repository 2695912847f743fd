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
    private fun nextRevision(tree: Tree, vararg edits: Edit): Pair<Tree, ChangeRecord> {
        val change = change("c${tree.revision + 1}", tree.revision, *edits)
        return tree.with(*edits) to ChangeRecord(tree.revision + 1, change)
    }

    private val network = GossipNetwork(Random(1))
    private val start = network.gossips.keys.first()
    private val base = Tree.empty().with(put("accounts/demo", Account(1, 1)))

    @Nested
    inner class Pushing {
        @Test
        fun `a change reaches both data centres without a notice`() {
            val (tree, record) = nextRevision(Tree.empty(), put("accounts/demo", Account(1, 1)))
            network.publish(start, tree, listOf(record))
            while (network.inFlight.isNotEmpty()) network.deliver(0)
            assertEquals(setOf(1L), network.gossips.values.map { it.tree.revision }.toSet())
        }

        @Test
        fun `a missed change is fetched after the next notices`() {
            val (tree, record) = nextRevision(Tree.empty(), put("accounts/demo", Account(1, 1)))
            network.publish(start, tree, listOf(record))
            network.inFlight.clear()
            network.deliverAll(ticks = 100)
            assertEquals(setOf(1L), network.gossips.values.map { it.tree.revision }.toSet())
        }

        @Test
        fun `a partitioned data centre catches up when the partition ends`() {
            val (tree, record) = nextRevision(Tree.empty(), put("accounts/demo", Account(1, 1)))
            network.shouldDrop = { it.from.instance.name[0] != it.to.instance.name[0] }
            network.publish(start, tree, listOf(record))
            network.inFlight.clear()
            network.deliverAll(ticks = 100)
            fun revisions() = network.centres.values.map { centre ->
                centre.map { network.gossips.getValue(it).tree.revision }.toSet()
            }
            assertEquals(listOf(setOf(1L), setOf(0L)), revisions())
            network.shouldDrop = { false }
            network.deliverAll(ticks = 100)
            assertEquals(listOf(setOf(1L), setOf(1L)), revisions())
        }

        @Test
        fun `nothing is resent while nothing changes`() {
            network.deliverAll(ticks = 100)
            // Each daemon sends 20 notices to its own data centre and 5 to the other in 10 s.
            assertTrue(network.sent <= 8 * 25, "${network.sent}")
        }
    }

    @Nested
    inner class CatchingUp {
        private val many = (0 until 20_000).map { put("w/adapters/m$it", adapter(1)) }.toTypedArray()

        @Test
        fun `a daemon that starts late fetches the whole tree from a peer in frames below the limit`() {
            val (tree, record) = nextRevision(base, *many)
            network.publish(start, tree, listOf(record))
            network.deliverAll(ticks = 200)
            for (gossip in network.gossips.values) assertEquals(tree.allEntries(), gossip.tree.allEntries())
            assertTrue(network.largestBytes < 1 shl 20, "${network.largestBytes}")
            assertEquals(emptyList(), network.unreadable)
        }

        @Test
        fun `a large copy completes although a newer revision is published meanwhile`() {
            val (tree, record) = nextRevision(base, *many)
            network.publish(start, tree, listOf(record))
            repeat(300) { network.disturbOneMessage() }
            val (next, more) = nextRevision(tree, put("w/adapters/m5", adapter(9)))
            network.publish(start, next, listOf(more))
            network.deliverAll(ticks = 300)
            assertEquals(setOf(next.revision), network.gossips.values.map { it.tree.revision }.toSet())
        }

        @Test
        fun `an unrequested chunk is ignored`() {
            val gossip = network.gossips.getValue(start)
            val peer = network.gossips.keys.last()
            assertEquals(emptyList(), gossip.receive(0, peer, ConfigMessage.Chunk(5, "{}")))
            assertEquals(0, gossip.tree.revision)
        }

        @Test
        fun `changes that cannot be applied are reported and replaced by a full copy`() {
            val peer = network.gossips.keys.first { it != start }
            network.publish(peer, base, emptyList())
            network.inFlight.clear()
            val wrong = ChangeRecord(1, change("c1", 0, Edit.Remove("accounts/none")))
            network.handle(
                start,
                network.gossips.getValue(start).receive(0, peer, ConfigMessage.Changes(1, listOf(wrong))),
            )
            assertEquals(1, network.unreadable.size)
            network.deliverAll(ticks = 30)
            assertEquals(base.allEntries(), network.gossips.getValue(start).tree.allEntries())
        }
    }

    @Nested
    inner class Confirming {
        @Test
        fun `a peer with the same revision confirms it and an older one does not`() {
            val gossip = network.gossips.getValue(start)
            val peer = network.gossips.keys.last()
            network.publish(start, base, emptyList())
            gossip.receive(5, peer, ConfigMessage.Notice(0))
            assertNull(gossip.confirmedNanos)
            gossip.receive(7, peer, ConfigMessage.Notice(1))
            assertEquals(7, gossip.confirmedNanos)
        }

        @Test
        fun `an isolated daemon confirms nothing`() {
            network.shouldDrop = { it.from == start || it.to == start }
            network.deliverAll(ticks = 50)
            assertNull(network.gossips.getValue(start).confirmedNanos)
            assertNotNull(network.gossips.values.last().confirmedNanos)
        }
    }

    /** Guards against a daemon that reverts to an older revision, reaches a wrong tree, or never catches up. */
    @Property(tries = 150, seed = "31")
    fun `no daemon reverts and all converge`(@ForAll seed: Long) {
        val random = Random(seed)
        val options = GossipOptions(maxLogRecords = 1 + random.nextInt(8))
        val disturbed = GossipNetwork(random, options = options)
        val trees = mutableListOf(Tree.empty())
        val records = ArrayList<ChangeRecord>()
        repeat(25) {
            val (tree, record) = nextRevision(trees.last(), *randomEdits(trees.last(), random, 4).toTypedArray())
            trees += tree
            records += record
            val publisher = disturbed.gossips.keys.random(random)
            val known = disturbed.gossips.getValue(publisher).tree.revision.toInt()
            // A daemon whose read skipped revisions has no records that connect them to its own revision.
            disturbed.publish(publisher, tree, if (random.nextBoolean()) records.drop(known) else emptyList())
            repeat(random.nextInt(40)) { disturbed.disturbOneMessage() }
            // A late answer of the platform yields a revision that is no longer the newest.
            disturbed.publish(disturbed.gossips.keys.random(random), trees.random(random), emptyList())
        }
        disturbed.deliverAll(ticks = 150)
        for ((member, gossip) in disturbed.gossips) {
            assertEquals(trees.last().allEntries(), gossip.tree.allEntries(), "$member")
            val revisions = disturbed.installedRevisions.getValue(member)
            assertEquals(revisions.sorted().distinct(), revisions, "$member")
        }
        assertEquals(emptyList(), disturbed.unreadable)
        assertEquals(emptyList(), disturbed.reversions)
    }
}
