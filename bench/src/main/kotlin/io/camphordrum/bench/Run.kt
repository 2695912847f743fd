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

    /** Runs the baseline, the scenario and the comparison with direct calls. */
    fun execute(roundRobin: Boolean): RunResult {
        fleet.startStandIns()
        val baseline = if (roundRobin) roundRobin().also { println("round robin: $it") } else null
        fleet.startDaemons()
        if (warmupSeconds > 0) warmUp()
        val before = EndpointRecords(fleet)
        val startNanos = System.nanoTime() + LEAD_NANOS
        startEpochMillis = System.currentTimeMillis() + LEAD_NANOS / 1_000_000
        val happened = load(startNanos)
        elapsedSeconds = (System.nanoTime() - startNanos) / 1e9
        val after = EndpointRecords(fleet)
        val added = if (scenario == Scenario.STEADY) addedLatency() else null
        return result(before, after, happened, baseline, added)
    }

    // Fills the slots and the processes' compiled code; nothing of it is measured.
    private fun warmUp() {
        val warmup = Workload(size, seed + WARM_UP_SEED, warmupSeconds).plan(popularitySeed = seed)
        val startNanos = System.nanoTime()
        val caller = Caller(size, startNanos)
        Balancer(fleet.addresses, seed).use { balancer ->
            OpenLoop(startNanos) { arrival, copy -> balanced(caller, arrival, balancer.order(), copy) }
                .run(warmup.filter { it.adapter != null })
        }
        caller.close()
    }

    private fun load(startNanos: Long): List<Timeline.Entry> {
        val timeline = Timeline(scenario.events(size, seconds), fleet, startNanos)
        val caller = Caller(size, startNanos)
        Balancer(fleet.addresses, seed).use { balancer ->
            timeline.start()
            outcomes = OpenLoop(startNanos) { arrival, copy ->
                balanced(caller, arrival, balancer.order(), copy)
            }.run(plan)
        }
        caller.close()
        return timeline.finish()
    }

    // As the platform's balancer does, another instance is tried only when the first took no byte.
    private fun balanced(
        caller: Caller,
        arrival: Arrival,
        order: List<String>,
        first: Int,
    ): CompletableFuture<Outcome> {
        val address = order[first % order.size]
        return caller.send(address, arrival).thenCompose {
            if (it.unsent && order.size > 1) {
                balanced(caller, arrival, order - address, first)
            } else {
                CompletableFuture.completedFuture(caller.outcome(arrival, it))
            }
        }
    }

    private fun roundRobin(): RoundRobinResult {
        val completions = plan.filter { it.adapter != null }
        val startNanos = System.nanoTime()
        val caller = Caller(size, startNanos)
        val client = RoundRobin(caller, fleet.engines, size)
        val all = OpenLoop(startNanos) { arrival, _ -> client.send(arrival) }.run(completions)
        caller.close()
        val records = EndpointRecords(fleet)
        for (engine in fleet.engines) fleet.control(engine, restartMessage())
        val whole = all.filter { it.ending == Ending.WHOLE }
        val first = Percentiles.of(whole.map { it.toFirstTokenNanos })
        return RoundRobinResult(all.size, whole.size, stallsOf(all), records.loads, first)
    }

    private fun addedLatency(): AddedLatency? {
        val (engine, adapter) = fleet.engines.firstNotNullOfOrNull { address ->
            RESIDENT.find(fleet.text(address, "/metrics"))?.let { address to it.groupValues[1] }
        } ?: return null
        val caller = Caller(size, 0)
        val direct = ArrayList<Long>()
        val through = ArrayList<Long>()
        for (i in 0 until COMPARED_CALLS) {
            val arrival = Arrival("$seed-direct-$i", 0, 0, adapter, 2)
            direct += timed { caller.sendDirect(engine, arrival).join() }
            through += timed { caller.send(fleet.addresses[0].callers, arrival).join() }
            Thread.sleep(COMPARED_PAUSE_MILLIS)
        }
        caller.close()
        return AddedLatency(Percentiles.of(direct.drop(WARM_UP_CALLS)), Percentiles.of(through.drop(WARM_UP_CALLS)))
    }

    private fun timed(call: () -> RawAnswer): Long {
        val began = System.nanoTime()
        return call().firstByteNanos - began
    }

    private fun startsAfterDrain(records: EndpointRecords, happened: List<Timeline.Entry>): Int? {
        val (left, returned) = happened.takeIf { it.size == 2 } ?: return null
        val from = startEpochMillis + (left.endedSeconds * 1000).toLong() + DRAIN_MILLIS
        val to = startEpochMillis + (returned.beganSeconds * 1000).toLong()
        return size.drainedEngines().sumOf { records.beganBetween(it, from, to) }
    }

    private fun result(
        before: EndpointRecords,
        after: EndpointRecords,
        happened: List<Timeline.Entry>,
        baseline: RoundRobinResult?,
        added: AddedLatency?,
    ): RunResult {
        val accounts = size.accounts.mapIndexed { i, spec ->
            AccountMeasure(spec, seconds, outcomes.filter { it.arrival.account == i }).result()
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
            mustBeZero = mustBeZero(outcomes, after, accounts),
            accounts = accounts,
            stalls = stallsOf(outcomes),
            loads = loads,
            loadsPerRequest = loads / maxOf(1, whole).toDouble(),
            bestFixedLoads = bestFixedLoads(plan, size.slots * size.engines),
            maxLoadsInFlight = after.maxLoadsInFlight,
            maxEngineConcurrency = after.maxConcurrency,
            platformCallsPerSecond = after.platformCalls.mapValues { (kind, count) ->
                (count - (before.platformCalls[kind] ?: 0)) / elapsedSeconds
            },
            startsAfterDrain = if (scenario == Scenario.DATACENTRE) startsAfterDrain(after, happened) else null,
            happened = happened.map { Happened(it.name, it.beganSeconds, it.endedSeconds, it.fault) },
            roundRobin = baseline,
            addedLatency = added,
            examples = outcomes.filter { it.ending != Ending.WHOLE }.distinctBy { it.detail.take(EXAMPLE_CHARACTERS) }
                .take(MAX_EXAMPLES).map { "${it.ending.name.lowercase()} ${it.arrival.id}: ${it.detail}" },
        )
    }

    private companion object {
        val RESIDENT = Regex("engine_lora_resident\\{adapter=\"([^\"]+)\"} 1")
        const val WARM_UP_SEED = 1_000_000L
        const val DRAIN_MILLIS = 3_000L
        const val LEAD_NANOS = 500_000_000L
        const val COMPARED_CALLS = 400
        const val WARM_UP_CALLS = 100
        const val COMPARED_PAUSE_MILLIS = 5L
        const val EXAMPLE_CHARACTERS = 80
        const val MAX_EXAMPLES = 20
    }
}
