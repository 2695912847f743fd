package io.camphordrum.core.residency

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against an account, an adapter or a priority that keeps others from being served. */
class FairnessTest {
    private class Served(var offered: Int = 0, var done: Int = 0, val waitsMillis: MutableList<Long> = ArrayList()) {
        /** Time to the end of the request in 99 of 100 cases. */
        fun p99(): Long = waitsMillis.sorted()[waitsMillis.size * 99 / 100] + SERVICE_MILLIS
    }

    /** Serves 8 requests at once for 100 ms each, which is 80 a second, and returns what each account got. */
    private fun simulate(perSecond: Map<String, Int>, weights: Map<String, Long> = emptyMap()): Map<String, Served> {
        val fixture = OwnerFixture(
            OwnerSettings(concurrency = 8),
            adapters = false,
            weight = { weights[it.name] ?: 1 },
        )
        fixture.warm(null)
        val random = Random(99)
        val served = perSecond.mapValues { Served() }
        val arrived = HashMap<Long, Pair<String, Long>>()
        val running = ArrayDeque<Pair<Long, OwnerEffect.Grant>>()
        var id = 1_000_000L
        repeat(6_000) {
            val effects = ArrayList(fixture.wait(10))
            while (running.isNotEmpty() && running.first().first <= fixture.now) {
                val (_, grant) = running.removeFirst()
                served.getValue(arrived.getValue(grant.request).first).done++
                effects += fixture.finish(grant)
            }
            for ((account, rate) in perSecond) {
                if (random.nextInt(100) >= rate) continue
                arrived[++id] = account to fixture.now
                served.getValue(account).offered++
                effects += fixture.ask(adapter = null, account = account, id = id)
            }
            for (grant in effects.grants()) {
                val (account, since) = arrived.getValue(grant.request)
                served.getValue(account).waitsMillis += (fixture.now - since) / MS
                running += fixture.now + SERVICE_MILLIS * MS to grant
            }
        }
        return served
    }

    @Test fun `an account at five times its rate takes nothing from the others`() {
        val small = listOf("s1", "s2", "s3", "s4").associateWith { 12 }
        val inside = simulate(small + ("large" to 16))
        val beyond = simulate(small + ("large" to 80))
        for (account in small.keys) {
            val got = beyond.getValue(account)
            assertTrue(got.done >= got.offered * 0.99, "$account got ${got.done} of ${got.offered}")
            val before = inside.getValue(account).p99()
            assertTrue(got.p99() <= 2 * before, "$account p99 ${got.p99()} ms, $before ms before")
        }
    }

    @Test fun `saturating accounts share tokens by weight`() {
        val served = simulate(mapOf("a" to 80, "b" to 80), mapOf("a" to 3_000, "b" to 1_000))
        val share = served.getValue("a").done.toDouble() / served.values.sumOf { it.done }
        assertTrue(share in 0.72..0.78, "share $share")
    }

    @Test fun `an account that comes and goes does not get more than its share`() {
        val fixture = OwnerFixture(OwnerSettings(concurrency = 1), adapters = false)
        var running = fixture.ask(adapter = null, account = "steady").grants().single()
        repeat(40) { fixture.ask(adapter = null, account = "steady") }
        var burstTokens = 0L
        var steadyTokens = 0L
        var burst = 0L
        repeat(60) {
            if (fixture.owner.waiting < 41) fixture.ask(adapter = null, account = "steady")
            // One large request at a time, so that the account is out of the queue whenever it is served.
            if (burst == 0L) {
                burst = 9_000L + it
                fixture.ask(adapter = null, account = "burst", tokens = 10_000, id = burst)
            }
            running = fixture.finish(running, usedTokens = 10_000).grants().single()
            if (running.request == burst) {
                burstTokens += 10_000
                burst = 0
            } else {
                steadyTokens += 100
            }
        }
        assertTrue(burstTokens <= steadyTokens + 2 * 10_000, "burst $burstTokens, steady $steadyTokens")
    }

    @Test fun `a request is passed over at most as often as the limit says`() {
        val fixture = OwnerFixture(OwnerSettings(passOverLimit = 5)).apply { report("hot") }
        fixture.loadUnits = 0
        fixture.ask("cold")
        val grants = (1..20).flatMap { fixture.ask("hot") }.grants()
        var passed = grants.size
        var running = grants
        while (running.isNotEmpty()) {
            running = running.flatMap { fixture.finish(it) }.grants()
            passed += running.size
        }
        assertEquals(5, passed)
        assertEquals(1, fixture.ask("hot", account = "other").grants().size, "other accounts are not held up")
    }

    @Test fun `higher priorities go first and lower ones still go`() {
        val fixture = OwnerFixture(OwnerSettings(concurrency = 1, passOverLimit = 5)).apply { report("a") }
        var running = fixture.ask().grants().single()
        fixture.ask(priority = 0, id = 500)
        repeat(20) { fixture.ask(priority = 1) }
        val order = (1..10).map {
            running = fixture.finish(running).grants().single()
            running.request
        }
        assertEquals(5, order.indexOf(500))
    }

    @Test fun `an adapter in constant use makes room for a waiting one`() {
        val fixture = OwnerFixture(OwnerSettings(reportLagNanos = 0)).apply { report("hot", slots = 1) }
        fixture.warm("hot")
        val resident = mutableSetOf("hot")
        val running = ArrayDeque<Pair<Long, OwnerEffect.Grant>>()
        fixture.ask("cold", account = "other", id = 7_777)
        var coldNanos = Long.MAX_VALUE
        val start = fixture.now
        // Each request takes 100 ms and the next comes after 50 ms, so the adapter is never idle by itself.
        while (coldNanos == Long.MAX_VALUE && fixture.now < start + 10_000 * MS) {
            var effects = fixture.wait(50) + fixture.ask("hot")
            while (running.isNotEmpty() && running.first().first <= fixture.now) {
                effects = effects + fixture.finish(running.removeFirst().second)
            }
            effects = effects + fixture.report(*resident.toTypedArray(), slots = 1, busy = null, running = running.size)
            while (effects.isNotEmpty()) {
                effects.grants().forEach { running += fixture.now + SERVICE_MILLIS * MS to it }
                if (effects.grants().any { it.request == 7_777L }) coldNanos = fixture.now - start
                resident -= effects.evictions().toSet()
                resident += effects.loads()
                effects = fixture.confirm(effects)
            }
        }
        assertTrue(coldNanos <= 5_000 * MS, "granted after ${coldNanos / MS} ms")
    }

    private companion object {
        const val SERVICE_MILLIS = 100L
    }
}
