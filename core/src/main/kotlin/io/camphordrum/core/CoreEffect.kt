package io.camphordrum.core

import io.camphordrum.core.config.ChangeRecord
import io.camphordrum.core.config.ConfigMessage
import io.camphordrum.core.config.Snapshot
import io.camphordrum.core.config.SubmitOutcome
import io.camphordrum.core.limits.AllotmentRecord
import io.camphordrum.core.limits.ShareMessage
import io.camphordrum.core.membership.MembershipMessage
import io.camphordrum.core.membership.MembershipRecord
import io.camphordrum.core.once.ClaimShard
import io.camphordrum.core.once.ClaimShardId
import io.camphordrum.core.once.RecordedAnswer
import io.camphordrum.core.residency.OwnerEffect
import io.camphordrum.core.residency.ResidencyMessage
import io.camphordrum.core.residency.TicketMessage

/** Describes an action that the [DecisionCore] requests from the daemon, or an event that it reports. */
public sealed interface CoreEffect {
    /** Represents an effect on the request of a caller. */
    public sealed interface Caller : CoreEffect {
        public val request: Long
    }

    /** Ends the request with a refusal. */
    public data class Refuse(override val request: Long, public val refusal: Refusal) : Caller

    /** Ends the request with a complete answer. */
    public data class Answer(override val request: Long, public val answer: RecordedAnswer) : Caller

    /** Releases the request, for which no further effect follows. */
    public data class Close(override val request: Long) : Caller

    /** Cancels the dispatch that is running for the request. */
    public data class CancelDispatch(override val request: Long) : Caller

    /** Sends the request to an endpoint. */
    public data class Dispatch(public val order: DispatchOrder) : Caller {
        override val request: Long get() = order.request
    }

    /** Orders an endpoint to load or evict an adapter; the lease must be checked again right before sending. */
    public data class OrderEndpoint(public val order: OwnerEffect.Order, public val address: String) : CoreEffect

    /** Reads the load report of an endpoint. */
    public data class ReadLoad(public val endpoint: EndpointId, public val address: String) : CoreEffect

    /** Sends a message to a peer; the message may be lost. */
    public sealed interface Send : CoreEffect {
        /** `host:port` of the receiver. */
        public val address: String
    }

    /** Sends a membership message. */
    public data class SendMembership(override val address: String, public val message: MembershipMessage) : Send

    /** Sends a message about shares. */
    public data class SendShare(override val address: String, public val message: ShareMessage) : Send

    /** Sends a message about tickets. */
    public data class SendTicket(override val address: String, public val message: TicketMessage) : Send

    /** Sends a message about the configuration. */
    public data class SendConfig(override val address: String, public val message: ConfigMessage) : Send

    /** Sends a message about residency. */
    public data class SendResidency(override val address: String, public val message: ResidencyMessage) : Send

    /** Closes the connection to the peer at [address], which has left. */
    public data class ClosePeer(public val address: String) : CoreEffect

    /** Accesses the platform's object store. */
    public sealed interface Store : CoreEffect

    /** Reads the membership record of this instance's data centre. */
    public data class ReadMembership(public val dataCentre: DataCentreId) : Store

    /** Writes the membership record of this instance's data centre. */
    public data class WriteMembership(
        public val dataCentre: DataCentreId,
        public val record: MembershipRecord,
        public val expectedVersion: Long,
    ) : Store

    /** Reads the allotments of the limits to data centres. */
    public data object ReadAllotments : Store

    /** Writes the allotments of the limits to data centres. */
    public data class WriteAllotments(public val record: AllotmentRecord, public val expectedVersion: Long) : Store

    /** Reads an object of claims. */
    public data class ReadClaims(public val id: ClaimShardId) : Store

    /** Writes an object of claims. */
    public data class WriteClaims(
        public val id: ClaimShardId,
        public val value: ClaimShard,
        public val expectedVersion: Long,
    ) : Store

    /** Reads an object of the configuration. */
    public data class ReadConfig(public val request: Long, public val name: String) : Store

    /** Writes an object of the configuration. */
    public data class WriteConfig(
        public val request: Long,
        public val name: String,
        public val value: String,
        public val ifVersion: Long,
    ) : Store

    /** Reports that a newer configuration is in force. */
    public data class ConfigInForce(public val snapshot: Snapshot) : CoreEffect

    /** Reports a configuration revision that cannot be used; the last valid one stays in force. */
    public data class ConfigUnreadable(public val revision: Long, public val reason: String) : CoreEffect

    /** Reports the outcome of an operator's change. */
    public data class ChangeSubmitted(public val id: String, public val outcome: SubmitOutcome) : CoreEffect

    /** Reports the change history that an operator queried; null when the platform cannot be reached. */
    public data class HistoryRead(public val query: Long, public val records: List<ChangeRecord>?) : CoreEffect

    /** Reports a new generation, which determines the members that may hold rights. */
    public data class GenerationInForce(public val generation: Generation) : CoreEffect

    /** Reports that a newer incarnation has replaced this instance; the process must exit. */
    public data class Superseded(public val by: Member) : CoreEffect

    /** Reports that the instance has left its generation; the process may exit. */
    public data object Left : CoreEffect
}
