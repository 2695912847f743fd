package io.camphordrum.core.serving

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Describes the unplanned end of an endpoint, as far as one daemon or several have seen it.
 *
 * @property startedEpochMillis start of the process that ended.
 * @property ageMillis time since its connections were closed.
 * @property suspects requests whose answer had not begun or was just beginning.
 */
@Serializable
public data class EndpointCrash(
    @SerialName("e") public val endpoint: String,
    @SerialName("b") public val startedEpochMillis: Long,
    @SerialName("a") public val ageMillis: Long,
    @SerialName("s") public val suspects: List<SuspectRequest>,
)

/**
 * Describes a request that may have crashed an endpoint.
 *
 * @property id id of the caller's attempt.
 * @property inFlightMillis time from sending the request until the crash.
 * @property parts ids of the parts of its prompt that other requests may share.
 */
@Serializable
public data class SuspectRequest(
    @SerialName("i") public val id: String,
    @SerialName("k") public val account: String?,
    @SerialName("w") public val inFlightMillis: Long,
    @SerialName("p") public val parts: List<String>,
)
