package io.camphordrum.wire

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Member
import io.camphordrum.core.config.ConfigMessage
import io.camphordrum.core.limits.ShareMessage
import io.camphordrum.core.membership.MembershipMessage
import io.camphordrum.core.residency.ResidencyMessage
import io.camphordrum.core.residency.TicketMessage
import io.camphordrum.core.serving.ServingMessage
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Wraps the messages that daemons exchange. */
@Serializable
public sealed interface PeerMessage {
    /** Carries a membership message. */
    @Serializable
    @SerialName("m")
    public data class Membership(@SerialName("v") public val message: MembershipMessage) : PeerMessage

    /** Carries a message about shares of rate limits. */
    @Serializable
    @SerialName("s")
    public data class Share(@SerialName("v") public val message: ShareMessage) : PeerMessage

    /** Carries a message about tickets of endpoints. */
    @Serializable
    @SerialName("t")
    public data class Ticket(@SerialName("v") public val message: TicketMessage) : PeerMessage

    /** Carries a message about the configuration. */
    @Serializable
    @SerialName("c")
    public data class Config(@SerialName("v") public val message: ConfigMessage) : PeerMessage

    /** Carries a message about residency and load. */
    @Serializable
    @SerialName("r")
    public data class Residency(@SerialName("v") public val message: ResidencyMessage) : PeerMessage

    /** Carries a message of the serving path. */
    @Serializable
    @SerialName("w")
    public data class Serving(@SerialName("v") public val message: ServingMessage) : PeerMessage
}

/**
 * Identifies the sender of a connection; the first message in each direction.
 *
 * @property version the protocol version; [PROTOCOL_VERSION] is the only one accepted.
 * @property peerAddress `host:port` on which the sender accepts connections.
 */
@Serializable
@SerialName("h")
public data class Hello(
    public val version: Int,
    public val member: Member,
    public val dataCentre: DataCentreId,
    public val peerAddress: String,
) : PeerMessage {
    /** Holds the supported protocol version. */
    public companion object {
        /** The protocol version of this build. */
        public const val PROTOCOL_VERSION: Int = 1
    }
}
