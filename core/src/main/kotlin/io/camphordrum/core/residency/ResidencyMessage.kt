package io.camphordrum.core.residency

import kotlinx.serialization.Serializable

/** Reports changes of residency and load between daemons. */
@Serializable
public sealed interface ResidencyMessage
