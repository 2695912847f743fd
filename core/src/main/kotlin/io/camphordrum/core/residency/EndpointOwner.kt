@file:Suppress("UnusedParameter", "UnusedPrivateProperty", "FunctionOnlyReturningConstant")

package io.camphordrum.core.residency

import io.camphordrum.core.AccountId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Member

/**
 * Decides who may use one endpoint, and which adapters it holds.
 *
 * Every function takes `now` in monotonic nanoseconds and returns the effects to carry out. The daemon creates an
 * owner when a generation makes it the endpoint's owner, and calls [generation] while later ones leave it so.
 *
 * ```kotlin
 * val owner = EndpointOwner(id, generation.number, now, fenced = true, membership::leaseValid, { budget.take(it) })
 * val effects = owner.request(now, TicketRequest(member, 1, account, version, tokens = 900, deadlineNanos))
 * ```
 *
 * @param fencing the generation's number.
 * @param startNanos when this owner came into its right.
 * @param fenced whether the endpoint refuses orders with an old fencing number.
 * @param leaseValid checked right before every grant and order.
 * @param takeLoad takes one unit of the load budget, or returns false; it is asked again at the next event.
 * @param weight the configured rate of a client account; its share of the fair queue.
 * @param adapters false for a plain service, which gets tickets and fairness but no loads.
 * @param firstOwner true when nobody can have owned the endpoint before, so that nothing has to be waited out.
 */
public class EndpointOwner(
    public val endpoint: EndpointId,
    fencing: Long,
    startNanos: Long,
    private val fenced: Boolean,
    private val leaseValid: (now: Long) -> Boolean,
    private val takeLoad: (now: Long) -> Boolean,
    private val weight: (AccountId) -> Long = { 1 },
    private val adapters: Boolean = true,
    private val firstOwner: Boolean = false,
    private val settings: OwnerSettings = OwnerSettings(),
) {
    /** The fencing number of grants and orders. */
    public var fencing: Long = fencing
        private set

    /** True when no ticket and no order is outstanding; after [leave] the endpoint may then stop. */
    public val idle: Boolean get() = true

    /** Requests that wait. */
    public val waiting: Int get() = 0

    /** Tickets that count, including those of holders that vanished. */
    public val tickets: Int get() = 0

    /** The present concurrency limit. */
    public val concurrency: Int get() = 1

    /** Takes a request for a ticket; the same request again gets the same answer. */
    public fun request(now: Long, request: TicketRequest): List<OwnerEffect> =
        listOf(OwnerEffect.Deny(request.from, request.request, DenyReason.NO_LEASE, SECOND, SECOND))

    /** Takes back a ticket; an unknown one is ignored. */
    public fun finish(now: Long, ticket: Long, report: TicketReport): List<OwnerEffect> = emptyList()

    /** Takes a report of the endpoint; one that is older than the last is ignored. */
    public fun load(now: Long, report: LoadReport): List<OwnerEffect> = emptyList()

    /** Takes the outcome of an order; an unknown order is ignored. */
    public fun ordered(now: Long, order: Long, outcome: OrderOutcome): List<OwnerEffect> = emptyList()

    /** Acts on the passage of time; call it at least every 100 ms. */
    public fun tick(now: Long): List<OwnerEffect> = emptyList()

    /** Continues under a newer generation; requests of members that are not in [live] are dropped. */
    public fun generation(now: Long, fencing: Long, live: Set<Member>): List<OwnerEffect> = emptyList()

    /** Denies what waits and all that follows, and lets running work finish. */
    public fun leave(now: Long): List<OwnerEffect> = emptyList()

    /** Returns the wait that a request of [account] would meet for a resident adapter, in nanoseconds. */
    public fun waitNanos(now: Long, account: AccountId? = null): Long = 0

    /** Returns what changed since the last digest, or null when there is nothing to tell. */
    public fun digest(now: Long): ResidencyMessage.Digest? = null
}
