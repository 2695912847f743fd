package io.camphordrum.core.residency

/**
 * Delays the grants and orders of a new owner until actions of the previous owner can no longer interfere.
 *
 * An order of the previous owner can take effect until its lease and its last order have expired, unless the endpoint
 * has accepted the new fencing token and rejects older ones. A ticket of the previous owner can be used to send a
 * request until its dispatch timeout. From then on the request appears in the endpoint's load reports, and an adapter
 * is evicted only when a report shows it idle.
 */
internal class Takeover(
    startNanos: Long,
    private val settings: OwnerSettings,
    private val fenced: Boolean,
    firstOwner: Boolean,
) {
    private val oldOrdersExpireNanos =
        if (firstOwner) startNanos else startNanos + settings.previousLeaseNanos + settings.orderTimeoutNanos
    private var evictAfterNanos =
        if (firstOwner) DISTANT_PAST_NANOS else startNanos + settings.previousLeaseNanos + settings.dispatchTimeoutNanos

    /** True once the endpoint has accepted an order with the fencing token of this owner. */
    var fencingAccepted: Boolean = firstOwner

    /**
     * Returns whether orders of the previous owner can no longer take effect, so that a resident adapter stays
     * resident.
     */
    fun oldOrdersExpired(now: Long): Boolean = now >= oldOrdersExpireNanos || (fenced && fencingAccepted)

    /** Returns whether orders may be issued; the first one makes a fenced endpoint reject older fencing tokens. */
    fun mayOrder(now: Long): Boolean = fenced || now >= oldOrdersExpireNanos

    fun mayEvict(now: Long): Boolean = mayOrder(now) && now >= evictAfterNanos

    /** Returns the maximum time until tickets can be granted. */
    fun grantWaitNanos(now: Long): Long = if (oldOrdersExpired(now)) 0 else oldOrdersExpireNanos - now

    /**
     * Returns whether a report of the state at [stateNanos] shows all use by tickets that this owner does not know.
     */
    fun coversUnknownTickets(stateNanos: Long): Boolean = stateNanos > evictAfterNanos + TRANSIT_NANOS

    /**
     * Extends the delay of evictions by the life of a ticket: while the lease was invalid, other daemons may have
     * dispatched without tickets.
     */
    fun extendAfterLeaseLoss(now: Long) {
        evictAfterNanos = maxOf(evictAfterNanos, now + settings.ticketLifeNanos)
    }

    private companion object {
        // Half of the minimum value, so that sums with times do not overflow.
        const val DISTANT_PAST_NANOS = Long.MIN_VALUE / 2
    }
}
