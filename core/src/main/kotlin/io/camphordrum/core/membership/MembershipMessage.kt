package io.camphordrum.core.membership

import kotlinx.serialization.Serializable

/** Renews leases and agrees on removals between members of one data centre. */
@Serializable
public sealed interface MembershipMessage
