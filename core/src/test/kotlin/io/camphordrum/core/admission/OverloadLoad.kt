package io.camphordrum.core.admission

import io.camphordrum.core.serving.LoadSimulation
import io.camphordrum.core.serving.Outcome
import io.camphordrum.core.serving.RequestKind
import io.camphordrum.core.serving.ServedAccount
import io.camphordrum.core.serving.ServingFixture
import kotlin.random.Random

/** Three kinds of requests at engines with room for about 60 requests a second. */
abstract class OverloadLoad {
    private val route = ServingFixture().drafts
    internal val review = route.copy(name = "review", priority = 0, targetMillis = 500)
    internal val summary = route.copy(name = "summary", priority = 1, targetMillis = 800)
    internal val digest = route.copy(name = "digest", priority = 2, targetMillis = 2_000)
    private val accounts = (1..8).map { ServedAccount("a$it", setOf("k$it"), null, 40_000.0, 80_000.0, 0) }
    internal val simulation = LoadSimulation(accounts = accounts, events = 20)

    internal fun load(millis: Long, digestRate: Double = 10.0, factor: Double = 1.0, hotFactor: Double = 1.0) {
        val rates = listOf(review to 15.0, summary to 20.0, digest to digestRate)
        val others = rates.sumOf { it.second } * 7 / 8
        val hot = rates.sumOf { it.second } / 8 * hotFactor
        simulation.traffic(millis, (others + hot) * factor, adapter = { "x${it.nextInt(10)}" }) { random ->
            val account = if (random.nextDouble() < hot / (others + hot)) "a1" else "a${2 + random.nextInt(7)}"
            RequestKind(draw(random, rates), account)
        }
    }

    private fun <T> draw(random: Random, weights: List<Pair<T, Double>>): T {
        var remaining = random.nextDouble() * weights.sumOf { it.second }
        return weights.first { (_, weight) ->
            remaining -= weight
            remaining < 0
        }.first
    }

    internal fun inTime(outcomes: List<Outcome>, predicate: (Outcome) -> Boolean) =
        outcomes.filter(predicate).let { part -> part.count { it.inTime }.toDouble() / maxOf(1, part.size) }

    internal fun served(outcomes: List<Outcome>, predicate: (Outcome) -> Boolean = { true }) =
        outcomes.filter(predicate).let { part ->
            part.count { it.firstMillis != null }.toDouble() / maxOf(1, part.size)
        }

    internal fun during(): List<Outcome> {
        simulation.drain()
        return simulation.outcomes.filter { it.arrivedMillis >= USUAL_MILLIS }
    }

    internal fun summary(outcomes: List<Outcome>) = listOf(review, summary, digest).joinToString { kind ->
        "${kind.name}: in time ${inTime(outcomes) { it.kind.route == kind }}, " +
            "served ${served(outcomes) { it.kind.route == kind }}"
    }

    protected companion object {
        const val USUAL_MILLIS = 6_000L
    }
}
