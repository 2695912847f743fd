package io.camphordrum.core.admission

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Callers that are refused while there is no room for three seconds, and return. */
class ReturnTest {
    private val random = Random(1)

    private fun request(priority: Int, leftMillis: Double = 14_000.0) =
        AdmissionRequest("models", priority, null, random.nextLong(), 800.0, 0.0, leftMillis)

    // Guards against callers that all return at the moment at which room returns.
    @Test
    fun `room returns after three seconds and callers return one after the other`() {
        val times = ReturnTimes()
        val returns = (0 until 60).map { it * 50L }.map { at ->
            at + times.retryMillis(at * 1_000_000, request(1), excessMillis = 3_000.0 - at)
        }
        assertTrue(returns.all { it >= 2_900 }, "$returns")
        val perSecond = returns.groupBy { it / 1_000 }.mapValues { it.value.size }
        assertTrue(perSecond.values.max() <= 30, "$perSecond")
    }

    @Test
    fun `room returns after two and a half seconds and more urgent callers return at shorter intervals`() {
        val times = ReturnTimes()
        val waits = List(8) { (0..2).map { times.retryMillis(0, request(it), excessMillis = 2_500.0) } }
        assertTrue(waits.take(3).sumOf { it[0] } < waits.take(3).sumOf { it[2] }, "$waits")
    }

    // Guards against a wait that callers do not accept.
    @Test
    fun `a caller is told to return within a third of the time that it has left`() {
        val times = ReturnTimes()
        repeat(50) { assertTrue(times.retryMillis(0, request(0, leftMillis = 6_000.0), 3_000.0) <= 2_000) }
    }

    // Guards against callers with a short deadline that are ranked as late.
    @Test
    fun `a returning caller is recognised by the time that it still waits`() {
        val callers = ReturningCallers()
        repeat(20) { assertEquals(0, callers.spentMillis("drafts", 15_060)) }
        assertEquals(900, callers.spentMillis("drafts", 14_160))
        assertEquals(0, callers.spentMillis("drafts", 2_000))
        assertEquals(0, callers.spentMillis("drafts", 20_000))
        assertEquals(0, callers.spentMillis("records", 14_160))
        assertEquals(0, callers.spentMillis("drafts", null))
    }

    @Test
    fun `a returning caller that is late ranks before others that are late and behind all that can be in time`() {
        val policy = AdmissionPolicy(AccountShares())
        fun rank(spent: Double, returning: Boolean): Int? {
            val request = request(0).copy(spentMillis = spent, returning = returning)
            val decision = policy.decide(0, request, { _, _ -> 400.0 }, { it }, { _, _ -> 0 })
            return (decision as? AdmissionDecision.Admit)?.rank
        }
        assertEquals(0, rank(spent = 300.0, returning = true))
        assertEquals(20, rank(spent = 700.0, returning = true))
        assertEquals(21, rank(spent = 700.0, returning = false))
    }

    // Guards against an account that loses more than its excess, and against marks in an ordinary second.
    @Test
    fun `one account at 4,4 times its usual load is marked for its excess only`() {
        val shares = AccountShares()
        val limits = (1..8).associate { "a$it" to 1_000.0 }
        val charged = HashMap<String, Long>()
        fun run(seconds: Int, from: Int, hot: Long) = repeat(seconds * 4) { step ->
            for (account in limits.keys) charged.merge(account, if (account == "a1") hot else 100L, Long::plus)
            shares.update((from * 4L + step) * 250_000_000, charged) { limits }
        }
        run(20, 0, hot = 100)
        assertTrue(limits.keys.all { shares.excessPart(it) == 0.0 })
        run(3, 20, hot = 440)
        assertTrue(shares.excessPart("a1") in 0.4..0.8, "${shares.excessPart("a1")}")
        assertTrue((2..8).all { shares.excessPart("a$it") == 0.0 })
    }
}
