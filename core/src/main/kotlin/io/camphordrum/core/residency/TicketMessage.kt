package io.camphordrum.core.residency

import kotlinx.serialization.Serializable

/** Asks for, grants, denies and ends the use of an endpoint. */
@Serializable
public sealed interface TicketMessage
