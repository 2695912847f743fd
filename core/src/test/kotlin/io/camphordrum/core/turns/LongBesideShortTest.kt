package io.camphordrum.core.turns

import kotlin.test.Test
import kotlin.test.assertTrue

/** Long and short prompts at one engine; each test is named after its load. */
class LongBesideShortTest {
    private class Sizes(results: List<PromptLoad.Result>) {
        private val sorted = results.sortedBy { it.tokens }
        val short = sorted.take(sorted.size * 7 / 10)
        val longFifth = sorted.drop(sorted.size * 7 / 10).dropLast(sorted.size / 10)
        val longestTenth = sorted.takeLast(sorted.size / 10)
        val all = sorted

        override fun toString() =
            listOf("short" to short, "fifth" to longFifth, "tenth" to longestTenth).joinToString { (name, part) ->
                val firsts = part.mapNotNull { it.firstMillis }.sorted()
                val pauses = part.mapNotNull { it.pauseMillis }.sorted()
                "$name ${part.size}: in time ${percent(inTime(part))}, served ${percent(served(part))}, first p50 " +
                    "${at(
                        firsts,
                        0.5,
                    )} p95 ${at(firsts, 0.95)}, pause p95 ${at(pauses, 0.95)} max ${pauses.lastOrNull()}"
            }

        private fun percent(part: Double) = "%.3f".format(part)

        private fun <T : Number> at(values: List<T>, part: Double) =
            values.getOrNull((values.size * part).toInt())?.toLong()
    }

    private fun at(load: Double, seed: Int = 1): Sizes {
        val run = PromptLoad(seed)
        run.run(60_000, load, 1_110, PromptLoad::mixed)
        run.drain()
        return Sizes(run.results)
    }

    @Test
    fun `long beside short prompts at six tenths of the room`() {
        val sizes = at(0.6)
        assertTrue(inTime(sizes.short) >= 0.95 && inTime(sizes.longestTenth) >= 0.8, "$sizes")
        assertPauses(sizes.short)
    }

    @Test
    fun `long beside short prompts at eight tenths of the room`() {
        val sizes = at(0.8)
        assertTrue(inTime(sizes.short) >= 0.9 && inTime(sizes.longestTenth) >= 0.6, "$sizes")
        assertPauses(sizes.short)
    }

    // Guards against long prompts that find no room because short ones fill every wait that short ones tolerate.
    @Test
    fun `long beside short prompts at all of the room and beyond`() {
        for (load in listOf(1.0, 1.5, 2.0)) {
            val sizes = at(load)
            val all = served(sizes.all)
            assertTrue(served(sizes.longestTenth) >= all * 0.5 && served(sizes.longFifth) >= all * 0.5, "$sizes")
            assertPauses(sizes.short)
        }
    }

    // Guards against short prompts that are refused or late behind long ones that could wait.
    @Test
    fun `a burst of long prompts beside short ones`() {
        val run = PromptLoad()
        repeat(20) {
            run.run(3_000, 0.5, 400) { 400 }
            repeat(3) { run.submit(4_000) }
        }
        run.drain()
        val short = run.results.filter { it.tokens == 400 }
        val long = run.results.filter { it.tokens == 4_000 }
        assertTrue(inTime(short) >= 0.9, "${inTime(short)} of the short")
        assertTrue(inTime(long) >= 0.5, "${inTime(long)} of the long")
        assertPauses(short)
    }

    @Test
    fun `long prompts only`() {
        val run = PromptLoad()
        run.run(30_000, 0.6, 3_500) { 3_000 + it.nextInt(1_000) }
        run.drain()
        assertTrue(inTime(run.results) >= 0.6, "${inTime(run.results)}")
    }

    @Test
    fun `short prompts only`() {
        val run = PromptLoad(events = 12)
        run.run(30_000, 0.8, 300) { 200 + it.nextInt(200) }
        run.drain()
        assertTrue(inTime(run.results) >= 0.95, "${inTime(run.results)}")
    }

    // Guards against a prompt that can never start, and against others that wait for it.
    @Test
    fun `one very large prompt among short ones`() {
        val run = PromptLoad(events = 12)
        run.run(2_000, 0.6, 300) { 300 }
        run.submit(9_000)
        run.run(2_000, 0.6, 300) { 300 }
        run.drain()
        val (large, short) = run.results.partition { it.tokens == 9_000 }
        assertTrue(large.single().firstMillis != null)
        assertTrue(inTime(short) >= 0.9, "${inTime(short)}")
    }

    private fun assertPauses(part: List<PromptLoad.Result>) {
        val served = part.filter { it.pauseMillis != null }
        val long = served.count { it.pauseMillis!! > PromptLoad.PAUSE_MILLIS }
        assertTrue(long <= served.size * 0.05, "$long of ${served.size} paused too long")
    }

    private companion object {
        fun inTime(part: List<PromptLoad.Result>) = part.count { it.inTime }.toDouble() / maxOf(1, part.size)

        fun served(part: List<PromptLoad.Result>) =
            part.count { it.firstMillis != null }.toDouble() / maxOf(1, part.size)
    }
}
