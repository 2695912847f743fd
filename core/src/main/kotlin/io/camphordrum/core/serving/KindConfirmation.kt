package io.camphordrum.core.serving

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * States until when a daemon knows that the objects of one kind of the store have not changed.
 *
 * @property kind kind of objects, as named by the store.
 * @property changedRevision revision of the store at which the daemon last listed the kind or saw a change of it.
 * @property storeRevision revision that the store had when the daemon saw that nothing had changed since.
 * @property ageMillis time since then.
 */
@Serializable
public data class KindConfirmation(
    @SerialName("k") public val kind: String,
    @SerialName("c") public val changedRevision: Long,
    @SerialName("s") public val storeRevision: Long,
    @SerialName("a") public val ageMillis: Long,
)

/** Exchanges what daemons know of the store, so that one of them asks for many. */
public interface StoreKnowledge {
    /** Returns what this daemon knows. */
    public fun confirmations(): List<KindConfirmation>

    /** Receives what another daemon knew at [sinceNanos] of the monotonic clock of this one. */
    public fun receive(confirmation: KindConfirmation, sinceNanos: Long)

    /** Knows nothing. */
    public object None : StoreKnowledge {
        override fun confirmations(): List<KindConfirmation> = emptyList()

        override fun receive(confirmation: KindConfirmation, sinceNanos: Long): Unit = Unit
    }
}
