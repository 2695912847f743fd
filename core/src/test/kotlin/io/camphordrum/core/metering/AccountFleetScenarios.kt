package io.camphordrum.core.metering

import io.camphordrum.core.serving.ServedAccount
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Runs callers of one account against a fleet of a hundred daemons. */
abstract class AccountFleetScenarios {
    internal val bound = LimitBound(8_000, overage = 0.1, slackTokens = 11_000.0)
    internal val account = ServedAccount("inspectors", setOf("k"), null, 60_000.0, 60_000.0, 200)

    internal fun fleet(seed: Int, limits: ServedAccount = account, daemons: Int = 96, lossPart: Double = 0.0) =
        MeteredFleet(daemons, limits, bound, seed, lossPart).also { it.run(4_000) }

    internal fun ServedAccount.scaled(factor: Double) =
        copy(tokensPerSecond = tokensPerSecond * factor, burstTokens = burstTokens * factor)

    internal fun allowed(limits: ServedAccount) =
        ((limits.tokensPerSecond * 8 + limits.burstTokens) * 1.1 + 11_000).toInt()

    internal fun assertBound(fleet: MeteredFleet, limits: ServedAccount = account, fromMillis: Long = 0) {
        val largest = fleet.largestWindow(fromMillis)
        assertTrue(largest <= allowed(limits), "$largest of ${allowed(limits)} tokens in a window")
    }

    internal fun assertNoneRefused(fleet: MeteredFleet, from: Long = 0, until: Long = Long.MAX_VALUE) {
        val refused = fleet.refused.count { it in from until until }
        val lines = fleet.refusals.filter { it.substringBefore(' ').toLong() in from until until }
        assertEquals(0, refused, lines.take(8).joinToString("\n"))
    }

    /** Sends at [part] of the rate, with bursts as large as the limit allows. */
    internal fun MeteredFleet.runCalm(seconds: Int, part: Double) = repeat(seconds) { second ->
        demandPerSecond = limits.tokensPerSecond * part
        if (second % 6 == 4) {
            run(700)
            demandPerSecond = limits.tokensPerSecond * 5
            run(300)
        } else {
            run(1_000)
        }
    }

    internal fun overload(seed: Int, factor: Double): MeteredFleet {
        val fleet = fleet(seed)
        fleet.runCalm(10, 0.55)
        fleet.callersKeepLimit = false
        fleet.demandPerSecond = account.tokensPerSecond * factor
        return fleet
    }
}
