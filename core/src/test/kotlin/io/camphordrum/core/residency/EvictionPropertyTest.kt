package io.camphordrum.core.residency

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against evictions of adapters in use, under lost, late and overlapping messages, restarts and new owners. */
class EvictionPropertyTest {
    @Property(tries = 400, seed = "4711")
    fun `no adapter is evicted under a ticket or a running request`(
        @ForAll seed: Long,
        @ForAll fenced: Boolean,
        @ForAll publishesBusy: Boolean,
    ) {
        val world = World(seed, fenced, publishesBusy)
        world.run(800)
        assertEquals(emptyList(), world.checker.violations)
    }

    @Test fun `the random sequences contain grants and evictions`() {
        for (fenced in listOf(true, false)) {
            for (busy in listOf(true, false)) {
                val worlds = List(20) { World(it.toLong(), fenced, busy).also { world -> world.run(800) } }
                assertTrue(worlds.sumOf { it.checker.evictions } > 20)
                assertTrue(worlds.sumOf { it.grants } > 1_000)
            }
        }
    }
}
