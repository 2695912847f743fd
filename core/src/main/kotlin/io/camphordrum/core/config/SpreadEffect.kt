package io.camphordrum.core.config

import io.camphordrum.core.Member

/** Asks the owner of a [ConfigSpread] for something, or tells it something. */
public sealed interface SpreadEffect {
    /** Send [message] to the peer [to]; it may be lost. */
    public data class Send(public val to: Member, public val message: ConfigMessage) : SpreadEffect

    /** A newer revision came from a peer; pass it to [ConfigStore.adopt] and put it in force. */
    public data class Installed(public val tree: Tree) : SpreadEffect

    /** What [from] sent as revision [revision] cannot be used; the last good one stays in force. */
    public data class Unreadable(public val from: Member, public val revision: Long, public val reason: String) :
        SpreadEffect
}
