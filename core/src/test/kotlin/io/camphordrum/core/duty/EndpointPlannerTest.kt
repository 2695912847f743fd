package io.camphordrum.core.duty

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.math.PI
import kotlin.math.ceil
import kotlin.math.sin
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EndpointPlannerTest {
    /**
     * Describes a pattern of demand and what the plan must keep.
     *
     * @property demand endpoints needed at each second; null if unknown.
     * @property shortSeconds seconds in which fewer endpoints may serve than are needed, with the time to boot.
     * @property reversals times that the number may turn from rising to falling or back.
     * @property last endpoints wanted at the end.
     */
    private data class Pattern(
        val name: String,
        val seconds: Int,
        val demand: (Int) -> Double?,
        val shortSeconds: Int,
        val reversals: Int,
        val last: IntRange,
        val present: Int = 20,
    )

    private val patterns = listOf(
        Pattern("steady demand orders nothing", 600, { 18.0 + it % 2 }, 0, 0, 20..20),
        Pattern("a burst is met one boot time later", 60, { if (it < 20) 10.0 else 30.0 }, BOOT_SECONDS + 5, 0, 30..39),
        Pattern("a rise is met while it goes on", 100, { 15 + it * 0.2 }, 0, 0, 35..42),
        Pattern(
            "a swing within the hold time orders only its peak",
            600,
            { swing(it, 24, 5, 11) },
            BOOT_SECONDS,
            1,
            28..33,
        ),
        Pattern("a falling demand gives endpoints up slowly", 900, { maxOf(4.0, 19.0 - it / 20.0) }, 0, 0, 8..11),
        Pattern("a short drop gives nothing up", 300, { if (it in 100..140) 2.0 else 19.0 }, 0, 0, 20..20),
        Pattern("a data centre that is lost keeps its endpoints", 300, { if (it < 100) 19.0 else null }, 0, 0, 20..20),
        Pattern("callers of a lost data centre move here", 60, {
            if (it <
                10
            ) {
                15.0
            } else {
                22.5
            }
        }, BOOT_SECONDS + 3, 0, 23..30),
        Pattern("demand above the maximum orders the maximum", 60, { 90.0 }, 60, 0, 42..42),
        Pattern("no demand leaves the minimum", 900, { 0.0 }, 0, 0, 8..8),
    )

    @TestFactory
    fun `demand is met without flapping and without waste`(): List<DynamicTest> = patterns.map { pattern ->
        dynamicTest(pattern.name) {
            val planner = EndpointPlanner(8, 42, BOOT_SECONDS * 1_000L, pattern.present)
            val counts = (0 until pattern.seconds).map { planner.plan(it * NANOS, pattern.demand(it)) }
            val ready = counts.indices.map { second ->
                // Ordered endpoints serve after the boot time; endpoints that are given up end at once.
                (maxOf(0, second - BOOT_SECONDS)..second).minOf { counts[it] }.coerceAtMost(counts[second])
            }
            val short = ready.indices.count { ceil((pattern.demand(it) ?: 0.0) - 0.5) > ready[it] }
            assertTrue(counts.all { it in 8..42 }, "$counts")
            assertTrue(short <= pattern.shortSeconds, "$short seconds with too few endpoints: $counts")
            val steps = (listOf(pattern.present) + counts).zipWithNext { a, b -> b.compareTo(a) }.filter { it != 0 }
            val reversals = steps.zipWithNext().count { (a, b) -> a != b }
            assertTrue(reversals <= pattern.reversals, "$reversals reversals: $counts")
            assertTrue(counts.last() in pattern.last, "ends with ${counts.last()}: $counts")
        }
    }

    // Guards against a plan of a new holder that gives up what the former one has just ordered.
    @Test
    fun `a new holder continues from the last order`() {
        val planner = EndpointPlanner(8, 42, BOOT_SECONDS * 1_000L, present = 20)
        planner.resume(30)
        assertEquals(30, planner.plan(0, 12.0))
        assertEquals(30, planner.plan(30 * NANOS, 12.0))
    }

    private companion object {
        const val BOOT_SECONDS = 8
        const val NANOS = 1_000_000_000L

        fun swing(second: Int, mean: Int, width: Int, period: Int): Double =
            mean + width * sin(2 * PI * second / period)
    }
}
