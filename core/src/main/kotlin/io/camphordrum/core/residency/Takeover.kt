package io.camphordrum.core.residency

/**
 * Holds back an owner until nothing that a previous owner did can interfere.
 *
 * An order of the previous owner can take effect until its lease and its last order have run out, unless the
 * endpoint has accepted the new fencing number and refuses older ones. A ticket of the previous owner can be used to
 * begin a request until its dispatch time has passed; from then on the request shows in the endpoint's load reports,
 * and an adapter is evicted only when a report shows it idle.
 */
internal class Takeover(
    startNanos: Long,
    private val settings: OwnerSettings,
    private val fenced: Boolean,
    firstOwner: Boolean,
) {
    private val quietNanos =
        if (firstOwner) startNanos else startNanos + settings.previousLeaseNanos + settings.orderNanos
    private var evictNanos =
        if (firstOwner) NEVER_NANOS else startNanos + settings.previousLeaseNanos + settings.dispatchNanos

    /** True once the endpoint has accepted an order with this owner's fencing number. */
    var fenceProved: Boolean = firstOwner

    /** Old orders can no longer take effect, so an adapter that is resident stays so. */
    fun quiet(now: Long): Boolean = now >= quietNanos || (fenced && fenceProved)

    /** Orders may be given; an endpoint that refuses old numbers is protected by the first one. */
    fun mayOrder(now: Long): Boolean = fenced || now >= quietNanos

    fun mayEvict(now: Long): Boolean = mayOrder(now) && now >= evictNanos

    /** Time until grants can begin at the latest. */
    fun waitNanos(now: Long): Long = if (quiet(now)) 0 else quietNanos - now

    /** True when a report of the state at [then] can show that no unknown ticket is in use. */
    fun settles(then: Long): Boolean = then > evictNanos + TRANSIT_NANOS

    /** Other daemons may have dispatched without tickets meanwhile, for as long as a ticket lives. */
    fun leaseInvalid(now: Long) {
        evictNanos = maxOf(evictNanos, now + settings.ticketLifeNanos)
    }

    private companion object {
        // Half of the smallest value, so that sums with times do not overflow.
        const val NEVER_NANOS = Long.MIN_VALUE / 2
    }
}
