package io.camphordrum.core.metering

/** Names why an [AccountMeter] refuses a charge. */
public enum class ChargeRefusal {
    /** The daemons together have used up what the bound allows. */
    USED_UP,

    /** Little is left, and this daemon has used its part of it. */
    RATIONED,

    /** This daemon has charged as much as it may before the others have heard of it. */
    UNREPORTED,
}
