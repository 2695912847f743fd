package io.camphordrum.core

/**
 * Configures a [DecisionCore] for one instance.
 *
 * @property peerAddress `host:port` on which this instance accepts peer connections.
 * @property seeds addresses of peers from which the configuration is requested while none is known.
 * @property seed start value of the random generators; unrelated to [seeds].
 * @property loadReportNanos interval between two reads of an owned endpoint's load report.
 * @property digestNanos interval between two digests of an owned endpoint.
 * @property seedRequestNanos interval between two requests for the configuration to [seeds].
 * @property digestSubscriptionNanos how long a member that requested a ticket receives digests of the endpoint.
 */
public data class CoreOptions(
    public val self: Member,
    public val dataCentre: DataCentreId,
    public val region: String,
    public val peerAddress: String,
    public val seeds: List<String> = emptyList(),
    public val seed: Long = 0,
    public val loadReportNanos: Long = 250_000_000L,
    public val digestNanos: Long = 1_000_000_000L,
    public val digestSubscriptionNanos: Long = 60_000_000_000L,
    public val seedRequestNanos: Long = 500_000_000L,
)
