package io.camphordrum.core.limits

import kotlinx.serialization.Serializable

/** Carries parts of client accounts' limits between members of one generation. */
@Serializable
public sealed interface ShareMessage
