package io.camphordrum.core.config

/**
 * Describes one setting for the reference documentation.
 *
 * @property default effective value where no branch declares one.
 * @property range accepted values, as text.
 */
public data class SettingInfo(
    public val name: String,
    public val default: String,
    public val range: String,
    public val meaning: String,
) {
    public companion object {
        /** Returns all settings in declaration order. */
        public fun all(): List<SettingInfo> = settingSpecs.map { spec ->
            val range = spec.range?.let { "${it.first} to ${it.last}" } ?: spec.values
            SettingInfo(spec.name, spec.effective(EffectiveSettings()).toString(), range, spec.meaning)
        }
    }
}

/** Describes a setting and reads it from declared and from effective settings. */
internal class SettingSpec(
    val name: String,
    val meaning: String,
    val declared: (Settings) -> Any?,
    val effective: (EffectiveSettings) -> Any?,
    val range: LongRange? = null,
    val values: String = "",
)

internal val settingSpecs: List<SettingSpec> = listOf(
    SettingSpec("open", "lets callers in without a key", { it.open }, { it.open }, values = "true or false"),
    SettingSpec(
        "allow",
        "accounts that may use what the branch holds; replaces the list above it",
        { it.allow },
        { it.allow },
        values = "names of accounts",
    ),
    SettingSpec(
        "openAccount",
        "account that is charged for callers without a key",
        { it.openAccount },
        { it.openAccount },
        values = "name of an account",
    ),
    SettingSpec(
        "priority",
        "sent to engines; a higher number goes first",
        { it.priority },
        { it.priority },
        -100L..100L,
    ),
    SettingSpec(
        "maxOutputTokens",
        "most tokens that a request may generate",
        { it.maxOutputTokens },
        { it.maxOutputTokens },
        1L..1_000_000L,
    ),
    SettingSpec(
        "deadlineMillis",
        "time for a request whose caller names none",
        { it.deadlineMillis },
        { it.deadlineMillis },
        1L..86_400_000L,
    ),
    SettingSpec(
        "limitWaitMillis",
        "how long a request inside its account's rate may wait for its share",
        { it.limitWaitMillis },
        { it.limitWaitMillis },
        0L..60_000L,
    ),
    SettingSpec(
        "queueMillis",
        "how long a request may wait for an endpoint",
        { it.queueMillis },
        { it.queueMillis },
        0L..600_000L,
    ),
    SettingSpec(
        "keyStalenessSeconds",
        "age of the last confirmed revision after which keyed requests are refused",
        { it.keyStalenessSeconds },
        { it.keyStalenessSeconds },
        2L..2_592_000L,
    ),
    SettingSpec(
        "maxReplicas",
        "most endpoints on which one adapter is resident at once",
        { it.maxReplicas },
        { it.maxReplicas },
        1L..10_000L,
    ),
    SettingSpec(
        "spillWaitMillis",
        "estimated wait above which the next candidate endpoint is asked",
        { it.spillWaitMillis },
        { it.spillWaitMillis },
        0L..60_000L,
    ),
    SettingSpec(
        "minResidentMillis",
        "how long a loaded adapter stays resident at least",
        { it.minResidentMillis },
        { it.minResidentMillis },
        0L..600_000L,
    ),
)
