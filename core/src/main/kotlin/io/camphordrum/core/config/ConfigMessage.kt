package io.camphordrum.core.config

import kotlinx.serialization.Serializable

/** Spreads configuration revisions between daemons. */
@Serializable
public sealed interface ConfigMessage
