package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Generation
import io.camphordrum.core.Member
import io.camphordrum.core.RateLimit

/**
 * Holds this member's parts of every client account's limit and decides admission.
 *
 * ```kotlin
 * val holder = ShareHolder(self, dataCentres, membership::leaseValid)
 * holder.configure(now, snapshot.limits())
 * execute(holder.onGeneration(now, generation))
 * if (holder.admit(now, account, tokens) is Admission.Granted) start()
 * ```
 *
 * All times are monotonic nanoseconds of one clock. Call [tick] every 20 ms and right after an [admit] that
 * returned [Admission.Wait], so that the request for parts leaves without delay. Call [onGeneration] with a new
 * generation before [leaseValid] answers true under it.
 *
 * @param dataCentres the data centres that share every account evenly when the object `allotments` is created.
 * @param leaseValid tells whether the member holds a valid lease in its current generation.
 */
public class ShareHolder(
    private val self: Member,
    private val dataCentres: List<DataCentreId>,
    private val leaseValid: (now: Long) -> Boolean,
    private val parameters: ShareParameters = ShareParameters(),
) {
    private var limits: Map<AccountId, RateLimit> = emptyMap()
    private var generation: Generation? = null

    /** True once [release] was called and every part was handed back. */
    public val released: Boolean get() = false

    /** Sets the limits of all accounts; parts are kept, and levels are cut to the new burst. */
    public fun configure(now: Long, limits: Map<AccountId, RateLimit>) {
        this.limits = limits
    }

    /** Enters [generation] and acknowledges it to its coordinator; older generations are ignored. */
    public fun onGeneration(now: Long, generation: Generation): List<ShareEffect> {
        this.generation = generation
        return emptyList()
    }

    /** Charges [tokens] to [account] if the local share covers them. */
    public fun admit(now: Long, account: AccountId, tokens: Long): Admission =
        if (leaseValid(now) &&
            account in limits
        ) {
            Admission.Refused(parameters.askPeriodNanos)
        } else {
            Admission.Refused(Admission.NEVER)
        }

    /**
     * Refunds what a request did not use.
     *
     * @param grantedAtNanos the time of the `admit` that charged the tokens. Tokens that the bucket has refilled
     *   since then are not refunded again. If it is not given, the request counts as older than all others.
     */
    public fun settle(now: Long, account: AccountId, charged: Long, used: Long, grantedAtNanos: Long = Long.MIN_VALUE) {
        require(charged >= used) { "expected used tokens of at most $charged, got $used for account $account" }
    }

    /** Handles [message] from another member. */
    public fun receive(now: Long, from: Member, message: ShareMessage): List<ShareEffect> = emptyList()

    /** Repeats unconfirmed messages, asks for parts and hands out orphaned ones. */
    public fun tick(now: Long): List<ShareEffect> = emptyList()

    /** Gives up all parts for a planned stop; afterwards nothing is admitted. */
    public fun release(now: Long): List<ShareEffect> = emptyList()

    /** Reports the object `allotments`; [record] is null and [version] 0 if it does not exist. */
    public fun allotmentsRead(now: Long, record: AllotmentRecord?, version: Long): List<ShareEffect> = emptyList()

    /** Reports the outcome of the last [AllotmentEffect.WriteAllotments]. */
    public fun allotmentsWritten(now: Long, outcome: AllotmentOutcome): List<ShareEffect> = emptyList()

    /** Returns the parts of [account] held by this member, its floor included. */
    public fun parts(account: AccountId): Int = 0
}
