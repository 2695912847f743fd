package io.camphordrum.core.serving

import io.camphordrum.core.Member
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Base of the messages between daemons of the serving path; messages may be lost. */
@Serializable
public sealed interface ServingMessage {
    /** Requests an adapter at [endpoint] from its owner, waiting for up to [waitMillis]. */
    @Serializable
    @SerialName("a")
    public data class LoadAsk(
        @SerialName("e") public val endpoint: String,
        @SerialName("b") public val base: String,
        @SerialName("a") public val adapter: String,
        @SerialName("v") public val version: Int?,
        @SerialName("w") public val waitMillis: Long,
    ) : ServingMessage

    /** Answers a [LoadAsk]; [reason] is null if [endpoint] holds the adapter, or else the reason why not. */
    @Serializable
    @SerialName("l")
    public data class LoadEnd(
        @SerialName("e") public val endpoint: String,
        @SerialName("a") public val adapter: String,
        @SerialName("v") public val version: Int?,
        @SerialName("r") public val reason: String? = null,
    ) : ServingMessage

    /** Requests the turn of a request from the owner of [endpoint]; no answer comes after [waitMillis]. */
    @Serializable
    @SerialName("t")
    public data class TurnAsk(
        @SerialName("e") public val endpoint: String,
        @SerialName("i") public val id: String,
        @SerialName("t") public val tokens: Int,
        @SerialName("p") public val priority: Int,
        @SerialName("w") public val waitMillis: Long,
    ) : ServingMessage

    /** Answers a [TurnAsk]; [queuedTokens] are the prompt tokens still queued for a turn at [endpoint]. */
    @Serializable
    @SerialName("g")
    public data class TurnEnd(
        @SerialName("e") public val endpoint: String,
        @SerialName("i") public val id: String,
        @SerialName("g") public val granted: Boolean,
        @SerialName("q") public val queuedTokens: Int,
    ) : ServingMessage

    /**
     * Reports to the owner of [endpoint] that the answer of a request has begun.
     *
     * @property expectedMillis expected time to read the prompt.
     * @property actualMillis time from sending the request until its answer began.
     * @property newTokens prompt tokens that no engine can have cached; 0 if unknown.
     */
    @Serializable
    @SerialName("b")
    public data class RunBegun(
        @SerialName("e") public val endpoint: String,
        @SerialName("x") public val expectedMillis: Double,
        @SerialName("m") public val actualMillis: Double,
        @SerialName("n") public val newTokens: Int,
    ) : ServingMessage

    /** Requests a permit at [endpoint], which is limited to [perSecond], from the daemon that grants them. */
    @Serializable
    @SerialName("p")
    public data class PermitAsk(
        @SerialName("e") public val endpoint: String,
        @SerialName("i") public val id: String,
        @SerialName("l") public val perSecond: Double,
    ) : ServingMessage

    /**
     * Answers a [PermitAsk].
     *
     * @property reason null if the permit is granted, or else the reason why not.
     * @property waitMillis when a permit is refused, the time after which to ask again.
     */
    @Serializable
    @SerialName("q")
    public data class PermitEnd(
        @SerialName("e") public val endpoint: String,
        @SerialName("i") public val id: String,
        @SerialName("r") public val reason: String?,
        @SerialName("w") public val waitMillis: Long,
    ) : ServingMessage

    /** Requests the permission to send the request [id], whose prompt part [part] may crash endpoints. */
    @Serializable
    @SerialName("s")
    public data class TrialAsk(@SerialName("p") public val part: String, @SerialName("i") public val id: String) :
        ServingMessage

    /** Answers a [TrialAsk]. */
    @Serializable
    @SerialName("v")
    public data class TrialEnd(
        @SerialName("p") public val part: String,
        @SerialName("i") public val id: String,
        @SerialName("g") public val granted: Boolean,
    ) : ServingMessage

    /** Ends the trial of the request [id], which was not sent or has ended. */
    @Serializable
    @SerialName("x")
    public data class TrialDrop(@SerialName("p") public val part: String, @SerialName("i") public val id: String) :
        ServingMessage

    /** Spreads news of crashes in a large fleet without relays; each receiver to which they are new forwards them. */
    @Serializable
    @SerialName("w")
    public data class PromptNews(@SerialName("p") public val report: PromptReport) : ServingMessage

    /** Withdraws a [TurnAsk] whose caller has disconnected. */
    @Serializable
    @SerialName("d")
    public data class TurnDrop(@SerialName("e") public val endpoint: String, @SerialName("i") public val id: String) :
        ServingMessage
}

/**
 * Publishes the charges, load and owned endpoints of a daemon at a fixed interval to every other daemon or to a relay.
 *
 * @property sequence grows with every notice of one incarnation.
 * @property charged tokens charged to accounts since the start of the sender.
 * @property load requests of the sender in flight at endpoints.
 * @property owned endpoints that the sender owns, and what they hold.
 * @property noticeAgesMillis age of the newest notice that the sender has received from each daemon.
 * @property relayed charges of other daemons, so that daemons that cannot reach each other still share limits.
 * @property limits rate limits of endpoints that the sender has observed in answers.
 * @property prompts what the sender knows about prompts that may crash endpoints; null if nothing.
 * @property levels tokens that accounts may still use, while other daemons have just started.
 */
@Serializable
@SerialName("n")
public data class ServingNotice(
    @SerialName("s") public val sender: Member,
    @SerialName("n") public val sequence: Long,
    @SerialName("c") public val charged: Map<String, Long>,
    @SerialName("l") public val load: List<EndpointLoad>,
    @SerialName("o") public val owned: List<OwnedEndpoint>,
    @SerialName("h") public val noticeAgesMillis: Map<String, Long>,
    @SerialName("r") public val relayed: List<RelayedCharges>,
    @SerialName("m") public val limits: List<ReportedLimit> = emptyList(),
    @SerialName("p") public val prompts: PromptReport? = null,
    @SerialName("v") public val levels: Map<String, Long> = emptyMap(),
) : ServingMessage

/**
 * Counts the requests of one daemon in flight at one endpoint.
 *
 * @property running requests whose answer has begun.
 * @property unanswered requests that were sent and whose answer has not begun.
 * @property pendingTokens prompt tokens of the unanswered requests.
 * @property adapters adapters of all these requests.
 */
@Serializable
public data class EndpointLoad(
    @SerialName("e") public val endpoint: String,
    @SerialName("r") public val running: Int,
    @SerialName("w") public val unanswered: Int,
    @SerialName("t") public val pendingTokens: Int,
    @SerialName("a") public val adapters: List<String>,
)

/**
 * Describes the state of an endpoint as published by its owner.
 *
 * @property queuedLoads loads that are queued or in progress.
 * @property queuedTokens prompt tokens of requests that are queued for their turn and not sent.
 * @property mayOrder whether the owner may send orders now.
 * @property slowness ratio of actual to expected time until answers begin.
 */
@Serializable
public data class OwnedEndpoint(
    @SerialName("e") public val endpoint: String,
    @SerialName("b") public val base: String?,
    @SerialName("a") public val adapters: Map<String, Int>,
    @SerialName("q") public val queuedLoads: Int,
    @SerialName("t") public val queuedTokens: Int = 0,
    @SerialName("o") public val mayOrder: Boolean = true,
    @SerialName("s") public val slowness: Double = 1.0,
)

/**
 * Describes the rate limit that a daemon observed in an answer of an endpoint.
 *
 * @property startedEpochMillis start of the endpoint that announced the limit.
 * @property perSecond requests a second that the endpoint accepts from all daemons together; null if it has ceased to
 *   announce a limit.
 * @property ageMillis time since the observation.
 */
@Serializable
public data class ReportedLimit(
    @SerialName("e") public val endpoint: String,
    @SerialName("b") public val startedEpochMillis: Long,
    @SerialName("l") public val perSecond: Double?,
    @SerialName("a") public val ageMillis: Long,
)

/** Forwards the total tokens that [member] had charged when it sent its notice [sequence], [ageMillis] ago. */
@Serializable
public data class RelayedCharges(
    @SerialName("m") public val member: Member,
    @SerialName("n") public val sequence: Long,
    @SerialName("g") public val ageMillis: Long,
    @SerialName("c") public val charged: Map<String, Long>,
)
