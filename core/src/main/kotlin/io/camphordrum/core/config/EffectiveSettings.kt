package io.camphordrum.core.config

import io.camphordrum.core.AccountId

/**
 * Holds the settings in force at a branch, after inheritance; [Settings] documents the properties.
 *
 * ```kotlin
 * if (!settings.open && account !in settings.allow) refuse()
 * ```
 */
public data class EffectiveSettings(
    public val open: Boolean = false,
    public val allow: Set<AccountId> = emptySet(),
    public val openAccount: AccountId? = null,
    public val priority: Int = 0,
    public val maxOutputTokens: Int = 4_096,
    public val deadlineMillis: Long = 60_000,
    public val limitWaitMillis: Long = 2_000,
    public val queueMillis: Long = 10_000,
    public val keyStalenessSeconds: Long = 3_600,
    public val maxReplicas: Int = 4,
    public val spillWaitMillis: Long = 250,
    public val minResidentMillis: Long = 5_000,
) {
    /** Returns these settings, overridden by the values that [declared] declares. */
    public fun with(declared: Settings): EffectiveSettings = EffectiveSettings(
        open = declared.open ?: open,
        allow = declared.allow ?: allow,
        openAccount = declared.openAccount ?: openAccount,
        priority = declared.priority ?: priority,
        maxOutputTokens = declared.maxOutputTokens ?: maxOutputTokens,
        deadlineMillis = declared.deadlineMillis ?: deadlineMillis,
        limitWaitMillis = declared.limitWaitMillis ?: limitWaitMillis,
        queueMillis = declared.queueMillis ?: queueMillis,
        keyStalenessSeconds = declared.keyStalenessSeconds ?: keyStalenessSeconds,
        maxReplicas = declared.maxReplicas ?: maxReplicas,
        spillWaitMillis = declared.spillWaitMillis ?: spillWaitMillis,
        minResidentMillis = declared.minResidentMillis ?: minResidentMillis,
    )

    /** Returns whether a request charged to [account] may use a branch with these settings. */
    public fun admits(account: AccountId?): Boolean = open || (account != null && account in allow)
}
