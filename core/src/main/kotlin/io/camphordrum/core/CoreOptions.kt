package io.camphordrum.core

/**
 * Tells a [DecisionCore] who it decides for.
 *
 * @property peerAddress `host:port` on which this instance accepts peer connections.
 * @property seeds peer addresses to ask for the configuration while none is known.
 * @property seed seeds every random choice.
 * @property loadReportNanos interval between two reads of an owned endpoint's load page.
 * @property digestNanos interval between two digests of an owned endpoint.
 * @property seedNanos interval between two asks of the seeds.
 * @property interestNanos how long a member that asked for a ticket keeps receiving digests.
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
    public val interestNanos: Long = 60_000_000_000L,
    public val seedNanos: Long = 500_000_000L,
)
