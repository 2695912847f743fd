package io.camphordrum.core.config

import io.camphordrum.core.AccountId

/**
 * Holds the settings in force at a branch, after inheritance; the properties are described at [Settings].
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
    /** Returns these settings with everything that [own] says in their place. */
    public fun with(own: Settings): EffectiveSettings = EffectiveSettings(
        open = own.open ?: open,
        allow = own.allow ?: allow,
        openAccount = own.openAccount ?: openAccount,
        priority = own.priority ?: priority,
        maxOutputTokens = own.maxOutputTokens ?: maxOutputTokens,
        deadlineMillis = own.deadlineMillis ?: deadlineMillis,
        limitWaitMillis = own.limitWaitMillis ?: limitWaitMillis,
        queueMillis = own.queueMillis ?: queueMillis,
        keyStalenessSeconds = own.keyStalenessSeconds ?: keyStalenessSeconds,
        maxReplicas = own.maxReplicas ?: maxReplicas,
        spillWaitMillis = own.spillWaitMillis ?: spillWaitMillis,
        minResidentMillis = own.minResidentMillis ?: minResidentMillis,
    )

    /** Tells whether a request charged to [account] may use what these settings cover. */
    public fun admits(account: AccountId?): Boolean = open || (account != null && account in allow)
}
