package io.camphordrum.core.limits

import io.camphordrum.core.Member

/** Describes an action that the daemon executes for a [ShareHolder]. */
public sealed interface ShareEffect {
    /** Sends [message] to the member [to] over its peer connection; the message may be lost. */
    public data class Send(public val to: Member, public val message: ShareMessage) : ShareEffect

    /** Reads or writes the platform object `allotments`. */
    public data class Store(public val effect: AllotmentEffect) : ShareEffect
}
