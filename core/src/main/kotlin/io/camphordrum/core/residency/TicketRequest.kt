package io.camphordrum.core.residency

import io.camphordrum.core.AccountId
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.Member

/**
 * A request for a ticket from an [EndpointOwner].
 *
 * @property from the member that will dispatch the request.
 * @property request unique among the requests of [from].
 * @property version null on a plain service.
 * @property tokens prompt plus maximum output tokens.
 * @property priority higher values are served first within the account.
 * @property deadlineNanos when the request must have finished, on the owner's monotonic clock.
 * @property maxWaitNanos the owner denies at once when it expects a longer wait.
 */
public data class TicketRequest(
    public val from: Member,
    public val request: Long,
    public val account: AccountId,
    public val version: AdapterVersion?,
    public val tokens: Long,
    public val deadlineNanos: Long,
    public val priority: Int = 0,
    public val maxWaitNanos: Long = Long.MAX_VALUE,
)
