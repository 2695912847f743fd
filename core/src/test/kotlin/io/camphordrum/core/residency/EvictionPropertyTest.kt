package io.camphordrum.core.residency

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Guards against evictions of adapters in use when messages are lost, late or reordered, and on restarts and changes of
 * owner.
 */
class EvictionPropertyTest {
    @Property(tries = 400, seed = "4711")
    fun `no adapter is evicted while a ticket or a running request uses it`(
        @ForAll seed: Long,
        @ForAll fenced: Boolean,
        @ForAll publishesBusy: Boolean,
    ) {
        val simulation = EndpointSimulation(seed, fenced, publishesBusy)
        simulation.run(800)
        assertEquals(emptyList(), simulation.checker.violations)
    }

    @Test fun `the random sequences contain grants and evictions`() {
        for (fenced in listOf(true, false)) {
            for (busy in listOf(true, false)) {
                val simulations = List(20) {
                    EndpointSimulation(it.toLong(), fenced, busy).also { simulation -> simulation.run(800) }
                }
                assertTrue(simulations.sumOf { it.checker.evictions } > 20)
                assertTrue(simulations.sumOf { it.grants } > 1_000)
            }
        }
    }
}
