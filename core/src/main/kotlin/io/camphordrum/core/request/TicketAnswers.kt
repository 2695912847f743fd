package io.camphordrum.core.request

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.residency.DenyReason

/**
 * A ticket that an owner granted.
 *
 * @property dispatchWithinNanos time within which the request must be sent to the endpoint, counted from when it was
 *   first sent to the owner.
 * @property validNanos life of the ticket, counted from when the request was first sent to the owner.
 * @property waitNanos the expected wait of the next request of the same account.
 */
public data class TicketGrant(
    public val ticket: Long,
    public val version: AdapterVersion?,
    public val fencing: Long,
    public val dispatchWithinNanos: Long,
    public val validNanos: Long,
    public val waitNanos: Long,
)

/** The reason of a denial by an owner, and the wait that the owner expects. */
public data class TicketDenial(
    public val reason: DenyReason,
    public val retryAfterNanos: Long,
    public val waitNanos: Long,
)
