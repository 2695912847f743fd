package io.camphordrum.core.config

import io.camphordrum.core.Member

/** Represents a request or a notification for the code that runs a [ConfigGossip]. */
public sealed interface GossipEffect {
    /** Requests that [message] be sent to the peer [to]; delivery is not guaranteed. */
    public data class Send(public val to: Member, public val message: ConfigMessage) : GossipEffect

    /** Reports a newer revision received from a peer; pass it to [ConfigStore.adopt] and put it in force. */
    public data class Installed(public val tree: Tree) : GossipEffect

    /** Reports that [revision] as sent by [from] is unusable; the last valid one stays in force. */
    public data class Unreadable(public val from: Member, public val revision: Long, public val reason: String) :
        GossipEffect
}
