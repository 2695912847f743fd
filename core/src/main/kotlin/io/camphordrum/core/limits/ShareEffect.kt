package io.camphordrum.core.limits

import io.camphordrum.core.Member

/** Asks the daemon to act for a [ShareHolder]. */
public sealed interface ShareEffect {
    /** Send [message] to the member [to] over its peer connection; the message may be lost. */
    public data class Send(public val to: Member, public val message: ShareMessage) : ShareEffect

    /** Read or write the platform object `allotments`. */
    public data class Store(public val effect: AllotmentEffect) : ShareEffect
}
