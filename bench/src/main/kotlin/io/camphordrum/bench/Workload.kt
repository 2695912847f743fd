package io.camphordrum.bench

import org.apache.commons.math3.distribution.ZipfDistribution
import org.apache.commons.math3.random.Well19937c
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import kotlin.math.ln
import kotlin.random.Random

/**
 * Is one request of the plan.
 *
 * @property id unique in the run; it is part of the prompt or the order, so that records of endpoints can be matched.
 * @property atNanos when it is sent, from the start of the run.
 * @property adapter null for an order.
 * @property copies how often an order is sent with the same key, through different daemons.
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

    /** What the account is charged at admission: prompt plus maximum output. */
    val chargedTokens: Long get() = if (adapter == null) 0 else prompt.length.toLong() + maxTokens
}

/** Plans the arrivals of a run from a seed: Poisson arrivals, Zipf popularity, one adapter version in use each. */
class Workload(private val size: Size, private val seed: Long, private val seconds: Int) {
    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    private val zipf = ZipfDistribution(Well19937c(seed), size.adapters, size.zipfExponent)
    private var names = ranked(seed)

    /**
     * Returns the planned arrivals in order of time.
     *
     * @param shiftAtSeconds when the popularity moves to other adapters.
     * @param flood the account that sends five times its rate between the two seconds, or null.
     * @param popularitySeed selects which adapters are popular; another plan with the same value likes the same ones.
     */
    fun plan(shiftAtSeconds: Double? = null, flood: Flood? = null, popularitySeed: Long = seed): List<Arrival> {
        names = ranked(popularitySeed)
        val out = ArrayList<Arrival>()
        for ((account, spec) in size.accounts.withIndex()) {
            poisson(size.requestsPerSecond * spec.share) { at -> out += completion(account, at, shiftAtSeconds) }
            if (flood != null && flood.account == account) {
                val extra = size.requestsPerSecond * spec.share * (FLOOD_FACTOR - 1)
                poisson(extra) { at -> if (at in flood.seconds) out += completion(account, at, shiftAtSeconds) }
            }
            poisson(size.ordersPerSecond * spec.share) { at -> out += order(account, at) }
        }
        return out.sortedBy { it.atNanos }.take(MAX_ARRIVALS).mapIndexed { i, arrival -> arrival.copy(id = "$seed-$i") }
    }

    private fun ranked(seed: Long) = (0 until size.adapters).map { adapterName(it) }.shuffled(Random(seed))

    private fun poisson(perSecond: Double, arrive: (Double) -> Unit) {
        var at = 0.0
        while (true) {
            at -= ln(1 - random.nextDouble()) / perSecond
            if (at >= seconds) return
            arrive(at)
        }
    }

    private fun completion(account: Int, at: Double, shiftAt: Double?): Arrival {
        val rank = zipf.sample() - 1
        val moved = if (shiftAt != null && at >= shiftAt) rank + size.adapters / 2 else rank
        val (least, most) = size.outputTokens
        return Arrival(
            "",
            nanos(at),
            account,
            names[moved % names.size] + "@1",
            least + random.nextInt(most - least + 1),
        )
    }

    private fun order(account: Int, at: Double): Arrival {
        val copies = if (random.nextDouble() < REPEATED_ORDERS) 2 else 1
        return Arrival("", nanos(at), account, null, 0, copies)
    }

    private fun nanos(seconds: Double) = (seconds * 1e9).toLong()

    /** Names the account that sends too much, and when. */
    data class Flood(val account: Int, val seconds: ClosedFloatingPointRange<Double>)

    companion object {
        private const val FLOOD_FACTOR = 5
        private const val REPEATED_ORDERS = 0.3

        // Bounds a run whatever its size file says.
        private const val MAX_ARRIVALS = 100_000

        /** Returns the name of the adapter with number [index]. */
        fun adapterName(index: Int): String = "adapter-%04d".format(index)
    }
}
