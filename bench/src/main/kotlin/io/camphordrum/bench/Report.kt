package io.camphordrum.bench

import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.nio.file.Path

/** Writes `result.json`, `report.md` and the plots of one run into a directory. */
class Report(private val result: RunResult, private val outcomes: List<Outcome>, private val size: Size) {
    /** Writes all files into [out]. */
    fun write(out: Path) {
        Files.writeString(out.resolve("result.json"), prettyJson.encodeToString(RunResult.serializer(), result))
        Files.writeString(out.resolve("report.md"), markdown())
        val firstTokenPlot = Svg.linePlot("p99 time to first token by account", "ms", firstTokenSeries())
        Files.writeString(out.resolve("first-token.svg"), firstTokenPlot)
        Files.writeString(out.resolve("endings.svg"), Svg.linePlot("Answers by ending", "per second", endingSeries()))
    }

    private fun markdown(): String = buildString {
        append("# ${result.scenario}, ${result.size}, seed ${result.seed}\n\n")
        append("${result.sent} requests in ${result.seconds} s: ${result.endings}; ")
        append("orders among them: ${result.orderEndings}.\n\n")
        for (event in result.events) {
            append(
                "- %.1f s to %.1f s: %s%s\n".format(
                    event.startSeconds,
                    event.endSeconds,
                    event.name,
                    event.fault?.let { " (failed: $it)" }.orEmpty(),
                ),
            )
        }
        appendMustBeZero()
        appendAccounts()
        appendFleet()
        appendBaselines()
        append("\n![first token](first-token.svg)\n\n![endings](endings.svg)\n")
        if (result.examples.isNotEmpty()) append("\n## Answers that were not whole\n\n")
        for (example in result.examples) append("- `${example.replace('`', '\'')}`\n")
    }

    private fun StringBuilder.appendMustBeZero() {
        val counts = result.mustBeZero
        append("\n## Must be zero\n\n| count | value |\n|---|---|\n")
        append("| answers from a wrong adapter | ${counts.wrongAdapter} |\n")
        append("| torn answers | ${counts.tornAnswers} |\n")
        append("| evictions under running requests | ${counts.evictionsUnderRunningRequests} |\n")
        append("| orders executed twice | ${counts.ordersExecutedTwice} |\n")
        append("| \"not run\" that ran | ${counts.notRunThatRan} |\n")
        append("| accounts over rate x T + burst | ${counts.accountsOverLimit} |\n")
    }

    private fun StringBuilder.appendAccounts() {
        append("\n## Accounts\n\n| account | sent | first token p50 / p95 / p99 ms | before / during / after p99 ms |")
        append(" worst minute p99 ms | inside the rate | refused inside | admitted tokens | allowed |")
        append(" largest excess | burst |\n|---|---|---|---|---|---|---|---|---|---|---|\n")
        for (it in result.accounts) {
            val phases = AccountMeasure.PHASES.joinToString(" / ") { phase ->
                formatMillis(it.phases.getValue(phase).p99)
            }
            append("| ${it.account} | ${it.sent} | ${percentiles(it.firstToken)} | $phases |")
            append(" ${it.worstMinute?.let { w -> formatMillis(w.firstToken.p99) } ?: "-"} | ${it.insideRate} |")
            append(" ${it.refusedInside} | ${it.admittedTokens} | ${it.allowedTokens} |")
            append(" ${it.excessTokens} | ${it.burstTokens} |\n")
        }
    }

    private fun StringBuilder.appendFleet() {
        append("\n## Fleet\n\n")
        append("- Stalls (first token after 200 ms or more): ${result.stalls}\n")
        append("- Loads: ${result.loads}, per request %.4f; ".format(result.loadsPerRequest))
        append("best fixed placement in hindsight: ${result.bestFixedLoads} loads\n")
        append("- Most loads in flight: ${result.maxLoadsInFlight}\n")
        append("- Largest batch: ${result.maxEngineConcurrency}\n")
        result.startsAfterDrain?.let { append("- Completions started in the drained data centre after 3 s: $it\n") }
        val calls = result.platformCallsPerSecond.entries.joinToString { "${it.key} %.2f".format(it.value) }
        append("- Platform calls per second, all daemons: $calls\n")
    }

    private fun StringBuilder.appendBaselines() {
        result.roundRobin?.let {
            append("\n## Round robin without residency\n\n")
            append("${it.whole} of ${it.requests} whole; ${it.stalls} stalls, ${it.loads} loads; ")
            append("first token ${percentiles(it.firstToken)} ms.\n")
        }
        result.addedLatency?.let {
            append("\n## Added time to first token (one call at a time)\n\n")
            append("Direct ${percentiles(it.direct)} ms; through a daemon ${percentiles(it.throughDaemon)} ms.\n")
        }
    }

    private fun firstTokenSeries(): Map<String, Series> {
        val whole = outcomes.filter { it.firstTokenNanos > 0 && it.arrival.adapter != null }
        val byAccount = whole.groupBy { size.accounts[it.arrival.account].name }
        return byAccount.toSortedMap().mapValues { (_, accountOutcomes) ->
            toSeries(accountOutcomes, PLOT_STEP_SECONDS) { group ->
                Percentiles.of(group.map { it.timeToFirstTokenNanos }).p99
            }
        }
    }

    private fun endingSeries(): Map<String, Series> = outcomes.groupBy { it.ending.name.lowercase() }
        .mapValues { (_, group) -> toSeries(group, PLOT_STEP_SECONDS) { it.size / PLOT_STEP_SECONDS.toDouble() } }

    private fun toSeries(outcomes: List<Outcome>, stepSeconds: Int, value: (List<Outcome>) -> Double): Series =
        outcomes.groupBy { it.arrival.atNanos / 1_000_000_000 / stepSeconds }.toSortedMap()
            .map { (i, group) -> (i * stepSeconds).toDouble() to value(group) }

    private fun percentiles(value: Percentiles) =
        "${formatMillis(value.p50)} / ${formatMillis(value.p95)} / ${formatMillis(value.p99)}"

    private fun formatMillis(value: Double) = "%.1f".format(value)

    private companion object {
        const val PLOT_STEP_SECONDS = 2
        val prettyJson = Json { prettyPrint = true }
    }
}
