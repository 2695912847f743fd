package io.camphordrum.bench

import java.util.concurrent.CompletableFuture

/** Runs one scenario with its baselines on a fleet. */
class Run(
    private val scenario: Scenario,
    private val sizeName: String,
    private val size: Size,
    private val seed: Long,
    private val seconds: Int,
    private val warmupSeconds: Int,
    private val fleet: Fleet,
) {
    private val plan = scenario.plan(size, seed, seconds)

    private var startEpochMillis = 0L
    private var elapsedSeconds = 0.0

    /** The outcomes of the run; empty before its end. */
    var outcomes: List<Outcome> = emptyList()
        private set

    /** Runs the baseline if [withRoundRobin], then the scenario, then in [Scenario.STEADY] the latency comparison. */
    fun execute(withRoundRobin: Boolean): RunResult {
        fleet.startStandIns()
        val baseline = if (withRoundRobin) measureRoundRobin().also { println("round robin: $it") } else null
        fleet.startDaemons()
        if (warmupSeconds > 0) warmUp()
        val before = EndpointRecords(fleet)
        val startNanos = System.nanoTime() + START_DELAY_NANOS
        startEpochMillis = System.currentTimeMillis() + START_DELAY_NANOS / 1_000_000
        val events = runScenario(startNanos)
        elapsedSeconds = (System.nanoTime() - startNanos) / 1e9
        val after = EndpointRecords(fleet)
        val addedLatency = if (scenario == Scenario.STEADY) measureAddedLatency() else null
        return buildResult(before, after, events, baseline, addedLatency)
    }

    // Fills the slots and lets the JVMs compile hot code; results are discarded.
    private fun warmUp() {
        val warmupPlan = Workload(size, seed + WARM_UP_SEED_OFFSET, warmupSeconds).plan(popularitySeed = seed)
        val startNanos = System.nanoTime()
        val caller = Caller(size, startNanos)
        Balancer(fleet.daemonAddresses, seed).use { balancer ->
            OpenLoop(startNanos) { arrival, copyIndex ->
                sendBalanced(caller, arrival, balancer.urlsToTry(), copyIndex)
            }.run(warmupPlan.filter { it.adapter != null })
        }
        caller.close()
    }

    private fun runScenario(startNanos: Long): List<Timeline.Entry> {
        val timeline = Timeline(scenario.events(size, seconds), fleet, startNanos)
        val caller = Caller(size, startNanos)
        Balancer(fleet.daemonAddresses, seed).use { balancer ->
            timeline.start()
            outcomes = OpenLoop(startNanos) { arrival, copyIndex ->
                sendBalanced(caller, arrival, balancer.urlsToTry(), copyIndex)
            }.run(plan)
        }
        caller.close()
        return timeline.awaitEnd()
    }

    // As the platform's load balancer does, retries on another daemon only if no byte was sent to the first.
    private fun sendBalanced(
        caller: Caller,
        arrival: Arrival,
        urls: List<String>,
        copyIndex: Int,
    ): CompletableFuture<Outcome> {
        val url = urls[copyIndex % urls.size]
        return caller.send(url, arrival).thenCompose {
            if (it.unsent && urls.size > 1) {
                sendBalanced(caller, arrival, urls - url, copyIndex)
            } else {
                CompletableFuture.completedFuture(caller.outcomeOf(arrival, it))
            }
        }
    }

    private fun measureRoundRobin(): RoundRobinResult {
        val completions = plan.filter { it.adapter != null }
        val startNanos = System.nanoTime()
        val caller = Caller(size, startNanos)
        val roundRobin = RoundRobin(caller, fleet.engines, size)
        val baselineOutcomes = OpenLoop(startNanos) { arrival, _ -> roundRobin.send(arrival) }.run(completions)
        caller.close()
        val records = EndpointRecords(fleet)
        for (engine in fleet.engines) fleet.sendControl(engine, restartMessage())
        val whole = baselineOutcomes.filter { it.ending == Ending.WHOLE }
        val firstToken = Percentiles.of(whole.map { it.timeToFirstTokenNanos })
        return RoundRobinResult(
            baselineOutcomes.size,
            whole.size,
            countStalls(baselineOutcomes),
            records.loads,
            firstToken,
        )
    }

    private fun measureAddedLatency(): AddedLatency? {
        val (engine, adapter) = fleet.engines.firstNotNullOfOrNull { address ->
            RESIDENT_ADAPTER.find(fleet.readText(address, "/metrics"))?.let { address to it.groupValues[1] }
        } ?: return null
        val caller = Caller(size, 0)
        val directNanos = ArrayList<Long>()
        val throughDaemonNanos = ArrayList<Long>()
        for (i in 0 until COMPARED_CALLS) {
            val arrival = Arrival("$seed-direct-$i", 0, 0, adapter, 2)
            directNanos += firstByteLatencyNanos { caller.sendDirect(engine, arrival).join() }
            throughDaemonNanos += firstByteLatencyNanos {
                caller.send(fleet.daemonAddresses[0].callersUrl, arrival).join()
            }
            Thread.sleep(COMPARED_PAUSE_MILLIS)
        }
        caller.close()
        return AddedLatency(
            Percentiles.of(directNanos.drop(WARM_UP_CALLS)),
            Percentiles.of(throughDaemonNanos.drop(WARM_UP_CALLS)),
        )
    }

    private fun firstByteLatencyNanos(call: () -> RawAnswer): Long {
        val startNanos = System.nanoTime()
        return call().firstByteNanos - startNanos
    }

    private fun startsAfterDrain(records: EndpointRecords, events: List<Timeline.Entry>): Int? {
        val (drain, returnEvent) = events.takeIf { it.size == 2 } ?: return null
        val fromEpochMillis = startEpochMillis + (drain.endSeconds * 1000).toLong() + DRAIN_GRACE_MILLIS
        val toEpochMillis = startEpochMillis + (returnEvent.startSeconds * 1000).toLong()
        return size.drainedEngines().sumOf { records.startedBetween(it, fromEpochMillis, toEpochMillis) }
    }

    private fun buildResult(
        before: EndpointRecords,
        after: EndpointRecords,
        events: List<Timeline.Entry>,
        baseline: RoundRobinResult?,
        addedLatency: AddedLatency?,
    ): RunResult {
        val accounts = size.accounts.mapIndexed { i, accountSize ->
            AccountMeasure(accountSize, seconds, outcomes.filter { it.arrival.account == i }).result()
        }
        val whole = outcomes.count { it.ending == Ending.WHOLE && it.arrival.adapter != null }
        val loads = after.loads - before.loads
        return RunResult(
            scenario = scenario.name.lowercase(),
            size = sizeName,
            seed = seed,
            seconds = seconds,
            sent = outcomes.size,
            endings = outcomes.groupingBy { it.ending.name.lowercase() }.eachCount().toSortedMap(),
            orderEndings = outcomes.filter { it.arrival.adapter == null }
                .groupingBy { it.ending.name.lowercase() }.eachCount().toSortedMap(),
            mustBeZero = countViolations(outcomes, after, accounts),
            accounts = accounts,
            stalls = countStalls(outcomes),
            loads = loads,
            loadsPerRequest = loads / maxOf(1, whole).toDouble(),
            bestFixedLoads = bestFixedLoads(plan, size.slots * size.engines),
            maxLoadsInFlight = after.maxLoadsInFlight,
            maxEngineConcurrency = after.maxConcurrency,
            platformCallsPerSecond = after.platformCalls.mapValues { (kind, count) ->
                (count - (before.platformCalls[kind] ?: 0)) / elapsedSeconds
            },
            startsAfterDrain = if (scenario == Scenario.DATACENTRE) startsAfterDrain(after, events) else null,
            events = events.map { EventResult(it.name, it.startSeconds, it.endSeconds, it.fault) },
            roundRobin = baseline,
            addedLatency = addedLatency,
            examples = outcomes.filter { it.ending != Ending.WHOLE }
                .distinctBy { it.detail.take(EXAMPLE_PREFIX_CHARACTERS) }
                .take(MAX_EXAMPLES).map { "${it.ending.name.lowercase()} ${it.arrival.id}: ${it.detail}" },
        )
    }

    private companion object {
        val RESIDENT_ADAPTER = Regex("engine_lora_resident\\{adapter=\"([^\"]+)\"} 1")
        const val WARM_UP_SEED_OFFSET = 1_000_000L
        const val DRAIN_GRACE_MILLIS = 3_000L
        const val START_DELAY_NANOS = 500_000_000L
        const val COMPARED_CALLS = 400
        const val WARM_UP_CALLS = 100
        const val COMPARED_PAUSE_MILLIS = 5L
        const val EXAMPLE_PREFIX_CHARACTERS = 80
        const val MAX_EXAMPLES = 20
    }
}
