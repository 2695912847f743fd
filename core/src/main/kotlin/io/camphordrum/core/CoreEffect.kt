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

/** Lists what the [DecisionCore] wants the daemon to do. */
public sealed interface CoreEffect {
    /** Effects towards a caller. */
    public sealed interface Caller : CoreEffect {
        public val request: Long
    }

    /** End the request with a refusal. */
    public data class Refuse(override val request: Long, public val refusal: Refusal) : Caller

    /** End the request with a whole answer. */
    public data class Answer(override val request: Long, public val answer: RecordedAnswer) : Caller

    /** Nothing more will be asked for the request. */
    public data class Close(override val request: Long) : Caller

    /** Stop the dispatch that is running for the request. */
    public data class CancelDispatch(override val request: Long) : Caller

    /** Send the request to an endpoint. */
    public data class Dispatch(public val order: DispatchOrder) : Caller {
        override val request: Long get() = order.request
    }

    /** Order an endpoint to load or evict an adapter; check the lease again right before sending. */
    public data class OrderEndpoint(public val order: OwnerEffect.Order, public val address: String) : CoreEffect

    /** Read the load page of an endpoint. */
    public data class ReadLoad(public val endpoint: EndpointId, public val address: String) : CoreEffect

    /** Effects towards a peer; the message may be lost. */
    public sealed interface Send : CoreEffect {
        /** `host:port` of the receiver. */
        public val address: String
    }

    /** Send a membership message. */
    public data class SendMembership(override val address: String, public val message: MembershipMessage) : Send

    /** Send a message about shares. */
    public data class SendShare(override val address: String, public val message: ShareMessage) : Send

    /** Send a message about tickets. */
    public data class SendTicket(override val address: String, public val message: TicketMessage) : Send

    /** Send a message about the configuration. */
    public data class SendConfig(override val address: String, public val message: ConfigMessage) : Send

    /** Send a message about residency. */
    public data class SendResidency(override val address: String, public val message: ResidencyMessage) : Send

    /** Close the connection to the peer at [address], which has left. */
    public data class ForgetPeer(public val address: String) : CoreEffect

    /** Effects towards the platform's object store. */
    public sealed interface Store : CoreEffect

    /** Read the own data centre's membership record. */
    public data class ReadMembership(public val dataCentre: DataCentreId) : Store

    /** Write the own data centre's membership record. */
    public data class WriteMembership(
        public val dataCentre: DataCentreId,
        public val record: MembershipRecord,
        public val expectedVersion: Long,
    ) : Store

    /** Read the division of limits between data centres. */
    public data object ReadAllotments : Store

    /** Write the division of limits between data centres. */
    public data class WriteAllotments(public val record: AllotmentRecord, public val expectedVersion: Long) : Store

    /** Read a shard of claims. */
    public data class ReadClaims(public val id: ClaimShardId) : Store

    /** Write a shard of claims. */
    public data class WriteClaims(
        public val id: ClaimShardId,
        public val value: ClaimShard,
        public val expectedVersion: Long,
    ) : Store

    /** Read an object of the configuration. */
    public data class ReadConfig(public val request: Long, public val name: String) : Store

    /** Write an object of the configuration. */
    public data class WriteConfig(
        public val request: Long,
        public val name: String,
        public val value: String,
        public val ifVersion: Long,
    ) : Store

    /** A newer configuration is in force. */
    public data class ConfigInForce(public val snapshot: Snapshot) : CoreEffect

    /** A configuration revision cannot be used; the last good one stays in force. */
    public data class ConfigUnreadable(public val revision: Long, public val reason: String) : CoreEffect

    /** An operator's change has its outcome. */
    public data class ChangeSubmitted(public val id: String, public val outcome: SubmitOutcome) : CoreEffect

    /** The answer to an operator's question for the history; null when the platform cannot be reached. */
    public data class HistoryRead(public val query: Long, public val records: List<ChangeRecord>?) : CoreEffect

    /** The set of members with rights has changed. */
    public data class GenerationInForce(public val generation: Generation) : CoreEffect

    /** A newer incarnation of this instance has taken its place; the process must end. */
    public data class Superseded(public val by: Member) : CoreEffect

    /** The instance has left its generation; the process may end. */
    public data object Left : CoreEffect
}
