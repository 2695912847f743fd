package io.camphordrum.core.config

/** Names each setting and reads it from both forms. */
internal class SettingSpec(
    val name: String,
    val own: (Settings) -> Any?,
    val effective: (EffectiveSettings) -> Any?,
    val range: LongRange? = null,
    val meaning: String,
)

internal val settingSpecs: List<SettingSpec> = listOf(
    SettingSpec("open", { it.open }, { it.open }, null, "lets callers in without a key"),
    SettingSpec("allow", { it.allow }, { it.allow }, null, "accounts that may use what the branch holds"),
    SettingSpec("openAccount", { it.openAccount }, { it.openAccount }, null, "account charged without a key"),
    SettingSpec("priority", { it.priority }, { it.priority }, -100L..100L, "sent to engines; higher goes first"),
    SettingSpec("maxOutputTokens", { it.maxOutputTokens }, { it.maxOutputTokens }, 1L..1_000_000L, "most new tokens"),
    SettingSpec("deadlineMillis", { it.deadlineMillis }, { it.deadlineMillis }, 1L..86_400_000L, "request deadline"),
    SettingSpec("limitWaitMillis", { it.limitWaitMillis }, { it.limitWaitMillis }, 0L..60_000L, "wait for a share"),
    SettingSpec("queueMillis", { it.queueMillis }, { it.queueMillis }, 0L..600_000L, "wait for an endpoint"),
    SettingSpec(
        "keyStalenessSeconds",
        { it.keyStalenessSeconds },
        { it.keyStalenessSeconds },
        2L..2_592_000L,
        "age of the last confirmed revision after which keyed requests are refused",
    ),
    SettingSpec("maxReplicas", { it.maxReplicas }, { it.maxReplicas }, 1L..10_000L, "most endpoints per adapter"),
    SettingSpec("spillWaitMillis", { it.spillWaitMillis }, { it.spillWaitMillis }, 0L..60_000L, "wait before a spill"),
    SettingSpec("minResidentMillis", { it.minResidentMillis }, { it.minResidentMillis }, 0L..600_000L, "hysteresis"),
)

internal fun explainPath(tree: Tree, path: String): Explanation {
    val place = TreePath.parse(path.trim('/').ifEmpty { "" })
    val own = ancestors(place.branch).reversed().map { branch ->
        branch to tree.entry(TreePath(branch, Section.SETTINGS).toString()) as Settings?
    }
    val effective = tree.settings(place.branch)
    val origins = settingSpecs.map { spec ->
        val from = own.firstOrNull { (_, settings) -> settings?.let(spec.own) != null }?.first
        SettingOrigin(spec.name, spec.effective(effective).toString(), originName(from))
    }
    return Explanation(place.toString(), originName(place.branch), tree.entry(place.toString()), origins)
}

private fun originName(branch: String?): String = when {
    branch == null -> "default"
    branch.isEmpty() -> "/"
    else -> branch
}
