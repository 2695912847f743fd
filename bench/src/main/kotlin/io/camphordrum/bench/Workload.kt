package io.camphordrum.bench

import org.apache.commons.math3.distribution.ZipfDistribution
import org.apache.commons.math3.random.Well19937c
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import kotlin.math.ln
import kotlin.random.Random

/**
 * Describes one planned request.
 *
 * @property id unique in the run; the prompt or the order contains it, so that records of endpoints can be matched.
 * @property atNanos the planned time of sending, from the start of the run.
 * @property adapter the adapter version of a completion; null for an order.
 * @property copies how many times an order is sent with the same idempotency key, through different daemons.
 */
data class Arrival(
    val id: String,
    val atNanos: Long,
    val account: Int,
    val adapter: String?,
    val maxTokens: Int,
    val copies: Int = 1,
) {
    /** The text of the prompt; one byte counts as one token at admission. */
    val prompt: String get() = "Request $id: continue."

    /** The tokens charged to the account at admission: prompt plus maximum output. */
    val chargedTokens: Long get() = if (adapter == null) 0 else prompt.length.toLong() + maxTokens
}

/** Plans the arrivals of a run from a seed: Poisson arrivals, Zipf popularity, one version per adapter. */
class Workload(private val size: Size, private val seed: Long, private val seconds: Int) {
    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val zipf = ZipfDistribution(Well19937c(seed), size.adapters, size.zipfExponent)
    private var adapterNames = rankedAdapterNames(seed)

    /**
     * Returns the planned arrivals in order of time.
     *
     * @param shiftAtSeconds when other adapters become popular, or null.
     * @param flood the account that sends five times its request rate within a time range, or null.
     * @param popularitySeed selects which adapters are popular; plans with the same value share the popularity ranking.
     */
    fun plan(shiftAtSeconds: Double? = null, flood: Flood? = null, popularitySeed: Long = seed): List<Arrival> {
        adapterNames = rankedAdapterNames(popularitySeed)
        val arrivals = ArrayList<Arrival>()
        for ((account, accountSize) in size.accounts.withIndex()) {
            generatePoissonTimes(size.requestsPerSecond * accountSize.share) { atSeconds ->
                arrivals += completion(account, atSeconds, shiftAtSeconds)
            }
            if (flood != null && flood.account == account) {
                val extraPerSecond = size.requestsPerSecond * accountSize.share * (FLOOD_FACTOR - 1)
                generatePoissonTimes(extraPerSecond) { atSeconds ->
                    if (atSeconds in flood.seconds) arrivals += completion(account, atSeconds, shiftAtSeconds)
                }
            }
            generatePoissonTimes(size.ordersPerSecond * accountSize.share) { atSeconds ->
                arrivals += order(account, atSeconds)
            }
        }
        return arrivals.sortedBy { it.atNanos }.take(MAX_ARRIVALS)
            .mapIndexed { i, arrival -> arrival.copy(id = "$seed-$i") }
    }

    private fun rankedAdapterNames(seed: Long) = (0 until size.adapters).map { adapterName(it) }.shuffled(Random(seed))

    private fun generatePoissonTimes(ratePerSecond: Double, addArrival: (Double) -> Unit) {
        var atSeconds = 0.0
        while (true) {
            atSeconds -= ln(1 - random.nextDouble()) / ratePerSecond
            if (atSeconds >= seconds) return
            addArrival(atSeconds)
        }
    }

    private fun completion(account: Int, atSeconds: Double, shiftAtSeconds: Double?): Arrival {
        val rank = zipf.sample() - 1
        val shiftedRank = if (shiftAtSeconds != null && atSeconds >= shiftAtSeconds) rank + size.adapters / 2 else rank
        val (minTokens, maxTokens) = size.outputTokens
        return Arrival(
            "",
            toNanos(atSeconds),
            account,
            adapterNames[shiftedRank % adapterNames.size] + "@1",
            minTokens + random.nextInt(maxTokens - minTokens + 1),
        )
    }

    private fun order(account: Int, atSeconds: Double): Arrival {
        val copies = if (random.nextDouble() < REPEATED_ORDER_FRACTION) 2 else 1
        return Arrival("", toNanos(atSeconds), account, null, 0, copies)
    }

    private fun toNanos(seconds: Double) = (seconds * 1e9).toLong()

    /** Specifies the account that exceeds its rate and the time range. */
    data class Flood(val account: Int, val seconds: ClosedFloatingPointRange<Double>)

    companion object {
        private const val FLOOD_FACTOR = 5
        private const val REPEATED_ORDER_FRACTION = 0.3

        // Bounds a run independently of its size file.
        private const val MAX_ARRIVALS = 100_000

        /** Returns the name of the adapter with number [index]. */
        fun adapterName(index: Int): String = "adapter-%04d".format(index)
    }
}
