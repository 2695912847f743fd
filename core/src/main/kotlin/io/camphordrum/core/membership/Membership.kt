package io.camphordrum.core.membership

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.Generation
import io.camphordrum.core.InstanceId
import io.camphordrum.core.Member
import io.camphordrum.core.WriteOutcome

/**
 * Decides when this instance may use exclusive rights in its data centre.
 *
 * ```kotlin
 * val membership = Membership(self, DataCentreId("a"), "127.0.0.1:8101", seed = 7)
 * run(membership.tick(clock.nanos()))          // at least ten times a second
 * if (membership.leaseValid(clock.nanos())) useRight()
 * ```
 */
@Suppress("UnusedParameter", "UnusedPrivateProperty", "FunctionOnlyReturningConstant")
public class Membership(
    private val self: Member,
    private val dataCentre: DataCentreId,
    private val peerAddress: String,
    seed: Long,
) {
    /** The latest adopted generation, or null before the first one is known. */
    public val generation: Generation? get() = null

    /** Tells whether every member is known to have adopted the current generation. */
    public val settled: Boolean get() = false

    /** Tells whether the lease is valid; check it right before each use of a right. */
    public fun leaseValid(now: Long): Boolean = false

    /**
     * Tells whether this instance owns [endpoint] with a valid lease, and no member that still acts on an earlier
     * generation can own it too.
     */
    public fun holds(now: Long, endpoint: EndpointId): Boolean = leaseValid(now) && generation?.owner(endpoint) == self

    /** Sets the configuration revision that heartbeats carry. */
    public fun configured(revision: Long): Unit = Unit

    /** Handles [message] of [from]. */
    public fun receive(now: Long, from: Member, message: MembershipMessage): List<MembershipEffect> = emptyList()

    /** Handles a read sent at [sentAt] that found [record] at [version], or no object (null, 0). */
    public fun storeRead(now: Long, sentAt: Long, record: MembershipRecord?, version: Long): List<MembershipEffect> =
        emptyList()

    /** Handles a read without an answer. */
    public fun storeReadFailed(now: Long): List<MembershipEffect> = emptyList()

    /** Handles the end of the latest [MembershipEffect.WriteStore]. */
    public fun storeWritten(now: Long, outcome: WriteOutcome): List<MembershipEffect> = emptyList()

    /** Handles an operator's statement that the process of [instance] has ended and cannot act again. */
    public fun gone(now: Long, instance: InstanceId): List<MembershipEffect> = emptyList()

    /** Does what is due at [now]. */
    public fun tick(now: Long): List<MembershipEffect> = emptyList()

    /** Gives up the lease for ever and leaves the generation; call it after handing over all rights. */
    public fun leave(now: Long): List<MembershipEffect> = emptyList()
}
