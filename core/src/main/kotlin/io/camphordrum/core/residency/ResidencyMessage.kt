package io.camphordrum.core.residency

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.EndpointId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A message between daemons about resident adapters and load. */
@Serializable
public sealed interface ResidencyMessage {
    /**
     * Publishes the changes at one endpoint since the owner's previous digest.
     *
     * Its size depends on the endpoint's slots and not on the number of adapters.
     *
     * @property fencing the owner's fencing token; digests of older owners are ignored.
     * @property sequence counts the owner's digests; a gap is repaired by the next [full] one.
     * @property full true when [added] is the complete list of resident adapters.
     * @property waitMillis the expected wait of a request of an idle account.
     */
    @Serializable
    @SerialName("c")
    public data class Digest(
        @SerialName("e") public val endpoint: EndpointId,
        @SerialName("f") public val fencing: Long,
        @SerialName("s") public val sequence: Int,
        @SerialName("u") public val full: Boolean = false,
        @SerialName("a") public val added: List<AdapterVersion> = emptyList(),
        @SerialName("r") public val removed: List<AdapterVersion> = emptyList(),
        @SerialName("w") public val waitMillis: Int = 0,
    ) : ResidencyMessage
}
