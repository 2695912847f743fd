package io.camphordrum.core.request

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.residency.DenyReason

/**
 * Carries what an owner granted.
 *
 * @property startNanos the request must be sent before this time, counted from when it was first sent to the owner.
 * @property validNanos life of the ticket, counted from when the request was first sent to the owner.
 * @property waitNanos the wait that the next request of the same account would meet.
 */
public data class TicketGrant(
    public val ticket: Long,
    public val version: AdapterVersion?,
    public val fencing: Long,
    public val startNanos: Long,
    public val validNanos: Long,
    public val waitNanos: Long,
)

/** Carries why an owner denied, and the wait that it expects. */
public data class TicketDenial(
    public val reason: DenyReason,
    public val retryAfterNanos: Long,
    public val waitNanos: Long,
)
