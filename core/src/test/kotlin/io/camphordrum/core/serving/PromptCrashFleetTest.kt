package io.camphordrum.core.serving

import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Plays prompt parts that crash endpoints to whole fleets, on a manual clock with fixed seeds. */
class PromptCrashFleetTest {
    // Can be set for a longer run.
    private fun seeds(size: Int) = 1..Integer.getInteger("promptSeeds", if (size > 16) 1 else 4)

    private fun fleet(size: Int, seed: Int): PromptFleet {
        val fleet = PromptFleet(size, endpoints = if (size > 16) 37 else 6, seed)
        fleet.demandPerSecond = if (size > 16) 200.0 else 60.0
        fleet.run(4_000)
        return fleet
    }

    private fun play(
        size: Int,
        share: Double,
        check: PromptFleet.(String) -> Unit = {
        },
        action: PromptFleet.() -> Unit,
    ) {
        for (seed in seeds(size)) {
            val fleet = fleet(size, seed)
            fleet.badShares = mapOf(BAD to share)
            fleet.action()
            fleet.run(20_000)
            val name = "seed $seed, ${fleet.crashes.size} crashes, blocks ${fleet.blocks}"
            assertEquals(emptyMap(), fleet.overBudget(), name)
            assertEquals(0, fleet.soundBlocked, name)
            fleet.check(name)
        }
    }

    private fun PromptFleet.assertBlocked(name: String, size: Int, part: String = BAD) =
        assertEquals(size, daemonsThatBlock(part), name)

    @Nested
    inner class Blocks {
        // Guards against requests of one kind that crash endpoints one after the other.
        @ParameterizedTest
        @CsvSource("7, 0.02", "7, 0.05", "7, 0.3", "95, 0.01", "95, 0.05", "95, 0.3")
        fun `a part that crashes endpoints is blocked at all daemons`(size: Int, share: Double) =
            play(size, share, { assertBlocked(it, size) }) {}

        // Guards against evidence that is kept apart by the account of its requests.
        @ParameterizedTest
        @ValueSource(ints = [7, 95])
        fun `a part is blocked for each account that sends it`(size: Int) = play(size, 0.05, { name ->
            assertEquals(size, daemonsThatBlock(BAD, "account-d"), name)
        }) {
            badAccounts = listOf("a")
            run(12_000)
            badAccounts = listOf("a", "b", "c", "d")
        }

        // Guards against a request that is refused although only another account's requests crashed endpoints.
        @ParameterizedTest
        @ValueSource(ints = [7, 95])
        fun `a part that one account sent is not blocked for others`(size: Int) = play(size, 0.05, { name ->
            assertEquals(size, daemonsThatBlock(BAD, "account-a"), name)
            assertEquals(0, daemonsThatBlock(BAD, "account-b"), name)
        }) { badAccounts = listOf("a") }

        @ParameterizedTest
        @ValueSource(ints = [7, 95])
        fun `two bad parts at once are both blocked`(size: Int) = play(size, 0.04, { name ->
            assertBlocked(name, size)
            assertBlocked(name, size, OTHER)
        }) { badShares = mapOf(BAD to 0.04, OTHER to 0.04) }

        @ParameterizedTest
        @ValueSource(ints = [7, 95])
        fun `an operator lifts a block`(size: Int) {
            val fleet = fleet(size, 1)
            fleet.badShares = mapOf(BAD to 0.05)
            fleet.run(15_000)
            fleet.badShares = emptyMap()
            fleet.run(5_000)
            fleet.assertBlocked("before", size)
            fleet.lift()
            fleet.run(20_000)
            assertEquals(0, fleet.daemonsThatBlock(BAD))
        }
    }

    @Nested
    inner class Faults {
        @ParameterizedTest
        @CsvSource("7, 0.05", "95, 0.02", "95, 0.2")
        fun `the bound holds across a data centre that is cut off`(size: Int, share: Double) =
            play(size, share, { assertBlocked(it, size) }) {
                run(500)
                cut(0, 6_000)
            }

        @ParameterizedTest
        @CsvSource("7, 0.05", "95, 0.02")
        fun `the bound holds while daemons restart one after the other`(size: Int, share: Double) =
            play(size, share, { assertBlocked(it, size) }) {
                repeat(size) {
                    restartDaemon(it, downMillis = 800)
                    run(1_400L * 7 / size)
                }
            }

        @ParameterizedTest
        @CsvSource("7, 0.05", "95, 0.02")
        fun `a block outlasts a restart of all daemons`(size: Int, share: Double) =
            play(size, share, { assertBlocked(it, size) }) {
                run(10_000)
                restartAll(downMillis = 1_000)
            }

        @ParameterizedTest
        @CsvSource("7, 0.05", "95, 0.02")
        fun `a block that is decided while the store is away is stored later`(size: Int, share: Double) =
            play(size, share, { name ->
                assertBlocked(name, size)
                assertTrue(blocks.isNotEmpty(), name)
            }) { stopStore(12_000) }

        // Guards against blocks that are taken for lifted because the store came back from a copy without them.
        @ParameterizedTest
        @CsvSource("7, 0.05", "95, 0.02")
        fun `a block outlasts a store that comes back from an older copy`(size: Int, share: Double) =
            play(size, share, { name ->
                assertBlocked(name, size)
                assertTrue(blocks.isNotEmpty(), name)
            }) {
                run(10_000)
                restoreStore()
            }

        @ParameterizedTest
        @CsvSource("7, 0.05", "95, 0.02")
        fun `the bound holds while endpoints also crash for other reasons`(size: Int, share: Double) =
            play(size, share) {
                repeat(10) {
                    crashEndpoint(it * 5)
                    run(1_200)
                }
            }
    }

    @Nested
    inner class SoundCallers {
        private fun playSound(size: Int, action: PromptFleet.() -> Unit) {
            for (seed in seeds(size)) {
                val fleet = fleet(size, seed)
                fleet.action()
                fleet.run(5_000)
                assertEquals(emptyList(), fleet.blocks, "seed $seed")
                assertEquals(0, fleet.soundBlocked, "seed $seed")
                assertTrue(fleet.trialWaits.none { it > 1_500 }, "seed $seed: ${fleet.trialWaits.maxOrNull()} ms")
            }
        }

        // Guards against parts that are blocked because replicas crash for another reason.
        @ParameterizedTest
        @ValueSource(ints = [7, 95])
        fun `no part is blocked when a third of the endpoints crash at once`(size: Int) = playSound(size) {
            repeat(3) {
                repeat(if (size > 16) 12 else 2) { crashEndpoint(it) }
                run(6_000)
            }
        }

        @ParameterizedTest
        @CsvSource("7, 700", "7, 250", "95, 700", "95, 100")
        fun `no part is blocked while endpoints are replaced one after the other`(size: Int, gapMillis: Long) =
            playSound(size) {
                repeat(40) {
                    crashEndpoint(it, downMillis = 1_500)
                    run(gapMillis)
                }
            }

        @ParameterizedTest
        @ValueSource(ints = [7, 95])
        fun `no part is blocked under a burst of few sessions`(size: Int) = playSound(size) {
            sessions = 8
            demandPerSecond *= 3
            repeat(12) {
                crashEndpoint(it * 5)
                run(1_000)
            }
        }

        // Guards against sound requests that share their caller and their other parts with bad ones.
        @ParameterizedTest
        @CsvSource("7, 0.05", "95, 0.05")
        fun `most sound requests begin at the first attempt beside a bad part`(size: Int, share: Double) {
            for (seed in seeds(size)) {
                val fleet = fleet(size, seed)
                fleet.badShares = mapOf(BAD to share)
                fleet.run(10_000)
                val begun = fleet.soundBegun
                val failed = fleet.soundFailed
                fleet.run(10_000)
                val laterBegun = fleet.soundBegun - begun
                val laterFailed = fleet.soundFailed - failed
                assertTrue(laterBegun >= 9 * laterFailed, "seed $seed: $laterBegun begun, $laterFailed failed")
                assertTrue(fleet.badRefused > 0, "seed $seed")
            }
        }
    }

    private companion object {
        const val BAD = "bad"
        const val OTHER = "other-bad"
    }
}
