package io.camphordrum.core.duty

import io.camphordrum.core.Member
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Carries what daemons tell each other about duties inside their notices and digests.
 *
 * @property holder daemon that holds the duties as far as the sender knows; null if it knows none.
 * @property token fencing token of the holder; of two holders, the one with the higher token is the current one.
 * @property ageMillis time since the holder itself said that it holds the duties.
 * @property decidedWindow newest usage window up to which all reports are decided; counts of these are not sent again.
 * @property counts counts of daemons, as far as the receiver may not have them.
 */
@Serializable
public data class DutyNews(
    @SerialName("h") public val holder: Member? = null,
    @SerialName("t") public val token: Long = 0,
    @SerialName("a") public val ageMillis: Long = 0,
    @SerialName("d") public val decidedWindow: Long = 0,
    @SerialName("c") public val counts: List<DutyCounts> = emptyList(),
)

/**
 * Holds counts of one incarnation of a daemon; all of them only grow, so that repeats and losses do no harm.
 *
 * @property sequence grows with every message of [member]; the newest [demand] counts.
 * @property windows some of the usage windows that are not decided yet.
 * @property demand requests since the start of the daemon, by service.
 */
@Serializable
public data class DutyCounts(
    @SerialName("m") public val member: Member,
    @SerialName("n") public val sequence: Long,
    @SerialName("w") public val windows: List<WindowCounts>,
    @SerialName("d") public val demand: List<ServiceDemand> = emptyList(),
)

/**
 * Counts the requests that began to run in one usage window.
 *
 * @property closed whether the window is over on the clock of the daemon, so that the counts are final.
 * @property began requests by account.
 */
@Serializable
public data class WindowCounts(
    @SerialName("k") public val window: Long,
    @SerialName("c") public val closed: Boolean,
    @SerialName("b") public val began: Map<String, Int>,
)

/**
 * Counts the requests for one service since the start of a daemon.
 *
 * @property arrived requests within their account's limit, whether or not they were served.
 * @property begun requests whose answer has begun.
 * @property readMillis time that engines needed for the prompts of the begun requests.
 */
@Serializable
public data class ServiceDemand(
    @SerialName("s") public val service: String,
    @SerialName("a") public val arrived: Long,
    @SerialName("b") public val begun: Long,
    @SerialName("r") public val readMillis: Long,
)
