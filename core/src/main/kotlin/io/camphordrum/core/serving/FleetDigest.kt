package io.camphordrum.core.serving

import io.camphordrum.core.Member
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Carries the aggregated state of a relay.
 *
 * Daemons that report to the relay receive the state of the whole fleet, other relays the state of these daemons.
 *
 * @property sequence grows with every digest of one incarnation of the sender.
 * @property full whether the digest contains all charges and adapters, and not only the changed ones.
 * @property dataCentres data centres that the digest covers; empty when the sender stops being a relay.
 * @property silent daemons of these data centres that were not heard from recently.
 * @property load requests in flight at endpoints, summed over daemons.
 * @property owned endpoints and their owners; the adapters of an unchanged endpoint are left out.
 * @property charged charges by daemon.
 * @property prompts what the sender knows about prompts that may crash endpoints; null if nothing.
 * @property levels tokens that accounts may still use, in full digests, for daemons that have just started.
 * @property limits rate limits of endpoints that daemons have observed in answers; the newest of each endpoint.
 */
@Serializable
@SerialName("f")
public data class FleetDigest(
    @SerialName("s") public val sender: Member,
    @SerialName("n") public val sequence: Long,
    @SerialName("f") public val full: Boolean,
    @SerialName("d") public val dataCentres: List<String>,
    @SerialName("x") public val silent: List<String>,
    @SerialName("l") public val load: List<EndpointLoad>,
    @SerialName("o") public val owned: List<OwnedBy>,
    @SerialName("c") public val charged: List<DaemonCharges>,
    @SerialName("m") public val limits: List<ReportedLimit> = emptyList(),
    @SerialName("p") public val prompts: PromptReport? = null,
    @SerialName("v") public val levels: Map<String, Long> = emptyMap(),
) : ServingMessage

/** Pairs an endpoint with the daemon that owns it. */
@Serializable
public data class OwnedBy(
    @SerialName("d") public val daemon: String,
    @SerialName("e") public val endpoint: OwnedEndpoint,
)

/** Holds the tokens that [member] had charged to some accounts when it sent its notice [sequence]. */
@Serializable
public data class DaemonCharges(
    @SerialName("m") public val member: Member,
    @SerialName("n") public val sequence: Long,
    @SerialName("c") public val charged: Map<String, Long>,
)
