package io.camphordrum.core.residency

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against starvation of accounts, adapters or priorities by others. */
class FairnessTest {
    private class AccountResult(
        var offered: Int = 0,
        var completed: Int = 0,
        val waitsMillis: MutableList<Long> = ArrayList(),
    ) {
        /** Returns the 99th percentile of the time from request to answer, in milliseconds. */
        fun p99Millis(): Long = waitsMillis.sorted()[waitsMillis.size * 99 / 100] + SERVICE_MILLIS
    }

    /** Serves 8 concurrent requests of 100 ms each, which is 80 per second, and returns the results by account. */
    private fun simulate(
        requestsPerSecond: Map<String, Int>,
        weights: Map<String, Long> = emptyMap(),
    ): Map<String, AccountResult> {
        val fixture = OwnerFixture(
            OwnerSettings(maxConcurrency = 8),
            supportsAdapters = false,
            weight = { weights[it.name] ?: 1 },
        )
        fixture.warmUp(null)
        val random = Random(99)
        val results = requestsPerSecond.mapValues { AccountResult() }
        val arrivals = HashMap<Long, Pair<String, Long>>()
        val running = ArrayDeque<Pair<Long, OwnerEffect.Grant>>()
        var id = 1_000_000L
        repeat(6_000) {
            val effects = ArrayList(fixture.advance(10))
            while (running.isNotEmpty() && running.first().first <= fixture.now) {
                val (_, grant) = running.removeFirst()
                results.getValue(arrivals.getValue(grant.request).first).completed++
                effects += fixture.finish(grant)
            }
            for ((account, rate) in requestsPerSecond) {
                if (random.nextInt(100) >= rate) continue
                arrivals[++id] = account to fixture.now
                results.getValue(account).offered++
                effects += fixture.requestTicket(adapter = null, account = account, id = id)
            }
            for (grant in effects.grants()) {
                val (account, arrivedNanos) = arrivals.getValue(grant.request)
                results.getValue(account).waitsMillis += (fixture.now - arrivedNanos) / MS
                running += fixture.now + SERVICE_MILLIS * MS to grant
            }
        }
        return results
    }

    @Test fun `an account at five times its rate does not slow down the others`() {
        val small = listOf("s1", "s2", "s3", "s4").associateWith { 12 }
        val withinRate = simulate(small + ("large" to 16))
        val aboveRate = simulate(small + ("large" to 80))
        for (account in small.keys) {
            val result = aboveRate.getValue(account)
            assertTrue(
                result.completed >= result.offered * 0.99,
                "$account completed ${result.completed} of ${result.offered}",
            )
            val p99Before = withinRate.getValue(account).p99Millis()
            assertTrue(
                result.p99Millis() <= 2 * p99Before,
                "$account p99 ${result.p99Millis()} ms, $p99Before ms before",
            )
        }
    }

    @Test fun `saturating accounts share tokens by weight`() {
        val results = simulate(mapOf("a" to 80, "b" to 80), mapOf("a" to 3_000, "b" to 1_000))
        val share = results.getValue("a").completed.toDouble() / results.values.sumOf { it.completed }
        assertTrue(share in 0.72..0.78, "share $share")
    }

    @Test fun `an account that leaves and rejoins the queue does not get more than its share`() {
        val fixture = OwnerFixture(OwnerSettings(maxConcurrency = 1), supportsAdapters = false)
        var running = fixture.requestTicket(adapter = null, account = "steady").grants().single()
        repeat(40) { fixture.requestTicket(adapter = null, account = "steady") }
        var burstTokens = 0L
        var steadyTokens = 0L
        var burstRequest = 0L
        repeat(60) {
            if (fixture.owner.waiting < 41) fixture.requestTicket(adapter = null, account = "steady")
            // Only one large request is queued at a time, so the account leaves the queue whenever it is served.
            if (burstRequest == 0L) {
                burstRequest = 9_000L + it
                fixture.requestTicket(adapter = null, account = "burst", tokens = 10_000, id = burstRequest)
            }
            running = fixture.finish(running, usedTokens = 10_000).grants().single()
            if (running.request == burstRequest) {
                burstTokens += 10_000
                burstRequest = 0
            } else {
                steadyTokens += 100
            }
        }
        assertTrue(burstTokens <= steadyTokens + 2 * 10_000, "burst $burstTokens, steady $steadyTokens")
    }

    @Test fun `a request is passed over at most as often as the limit allows`() {
        val fixture = OwnerFixture(OwnerSettings(passOverLimit = 5)).apply { report("hot") }
        fixture.remainingLoadUnits = 0
        fixture.requestTicket("cold")
        val grants = (1..20).flatMap { fixture.requestTicket("hot") }.grants()
        var passOverCount = grants.size
        var running = grants
        while (running.isNotEmpty()) {
            running = running.flatMap { fixture.finish(it) }.grants()
            passOverCount += running.size
        }
        assertEquals(5, passOverCount)
        assertEquals(1, fixture.requestTicket("hot", account = "other").grants().size, "other accounts are not blocked")
    }

    @Test fun `higher priorities are served first and lower ones are not starved`() {
        val fixture = OwnerFixture(OwnerSettings(maxConcurrency = 1, passOverLimit = 5)).apply { report("a") }
        var running = fixture.requestTicket().grants().single()
        fixture.requestTicket(priority = 0, id = 500)
        repeat(20) { fixture.requestTicket(priority = 1) }
        val servedRequests = (1..10).map {
            running = fixture.finish(running).grants().single()
            running.request
        }
        assertEquals(5, servedRequests.indexOf(500))
    }

    @Test fun `an adapter in constant use is evicted for a waiting one`() {
        val fixture = OwnerFixture(OwnerSettings(reportLagNanos = 0)).apply { report("hot", slots = 1) }
        fixture.warmUp("hot")
        val resident = mutableSetOf("hot")
        val running = ArrayDeque<Pair<Long, OwnerEffect.Grant>>()
        fixture.requestTicket("cold", account = "other", id = 7_777)
        var coldGrantedAfterNanos = Long.MAX_VALUE
        val startNanos = fixture.now
        // Each request takes 100 ms and the next one arrives after 50 ms, so the adapter is never idle on its own.
        while (coldGrantedAfterNanos == Long.MAX_VALUE && fixture.now < startNanos + 10_000 * MS) {
            var effects = fixture.advance(50) + fixture.requestTicket("hot")
            while (running.isNotEmpty() && running.first().first <= fixture.now) {
                effects = effects + fixture.finish(running.removeFirst().second)
            }
            effects = effects + fixture.report(*resident.toTypedArray(), slots = 1, busy = null, running = running.size)
            while (effects.isNotEmpty()) {
                effects.grants().forEach { running += fixture.now + SERVICE_MILLIS * MS to it }
                if (effects.grants().any { it.request == 7_777L }) coldGrantedAfterNanos = fixture.now - startNanos
                resident -= effects.evictions().toSet()
                resident += effects.loads()
                effects = fixture.closeOrders(effects)
            }
        }
        assertTrue(coldGrantedAfterNanos <= 5_000 * MS, "granted after ${coldGrantedAfterNanos / MS} ms")
    }

    private companion object {
        const val SERVICE_MILLIS = 100L
    }
}
