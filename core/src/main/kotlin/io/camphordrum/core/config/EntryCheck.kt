package io.camphordrum.core.config

/** Returns what is wrong with [edit] on its own, or null; [place] is its parsed path. */
internal fun checkEntry(place: TreePath, edit: Edit.Put): TreeError? {
    val section = sectionOf(edit.entry)
    val path = edit.path
    val fault = when {
        place.section == null -> "a path that names a section" to "'$path'"
        place.toString() != path -> "the path '$place'" to "'$path'"
        place.section != section -> "an entry of ${place.section.key}" to "one of ${section.key}"
        !branchValid(place.branch) -> "branch names of $NAME_RULE" to "'${place.branch}'"
        else -> checkName(section, place.name) ?: checkValue(edit.entry)
    } ?: return null
    return TreeError(path, fault.first, fault.second)
}

internal fun sectionOf(entry: Entry): Section = when (entry) {
    is Settings -> Section.SETTINGS
    is Account -> Section.ACCOUNTS
    is Key -> Section.KEYS
    is Adapter -> Section.ADAPTERS
    is Route -> Section.ROUTES
    is DataCentre -> Section.DATA_CENTRES
    is Endpoint -> Section.ENDPOINTS
    is LoadBudget -> Section.LOAD_BUDGETS
}

/** Returns what is wrong with the record fields of [change], apart from its edits. */
internal fun checkChange(change: Change): List<TreeError> = listOfNotNull(
    TreeError("change/id", "a name of $NAME_RULE", "'${change.id}'").takeUnless { plain(change.id, "") },
    TreeError("change/who", "1 to $MAX_WHO characters", "${change.who.length}")
        .takeUnless { change.who.isNotBlank() && change.who.length <= MAX_WHO },
    TreeError("change/why", "at most $MAX_WHY characters", "${change.why.length}")
        .takeUnless { change.why.length <= MAX_WHY },
    TreeError("change/edits", "1 to $MAX_EDITS edits", "${change.edits.size}")
        .takeUnless { change.edits.size in 1..MAX_EDITS },
)

private typealias Fault = Pair<String, String>

private fun branchValid(branch: String): Boolean =
    branch.isEmpty() || (branch.length <= MAX_NAME && branch.split('/').all { plain(it, "") })

private fun checkName(section: Section, name: String): Fault? = when (section) {
    Section.SETTINGS -> if (name.isEmpty()) null else "nothing after 'settings'" to "'$name'"
    Section.ROUTES -> when {
        !name.startsWith('/') || (name.length > 1 && !plain(name.drop(1), "/~%+")) -> "a path prefix" to "'$name'"
        name == RESERVED || name.startsWith("$RESERVED/") -> "a prefix outside $RESERVED" to "'$name'"
        else -> null
    }
    // Model names may have an owner in front; '@' separates the version.
    Section.ADAPTERS, Section.LOAD_BUDGETS -> nameFault(name, "/")
    else -> nameFault(name, "")
}

private fun nameFault(name: String, more: String): Fault? =
    if (plain(name, more)) null else "a name of $NAME_RULE" to "'$name'"

private fun plain(name: String, more: String): Boolean = name.length in 1..MAX_NAME &&
    name.all { it in 'a'..'z' || it in 'A'..'Z' || it in '0'..'9' || it in "._:-" || it in more }

private fun checkValue(entry: Entry): Fault? = when (entry) {
    is Settings -> checkSettings(entry)
    is Account ->
        rangeFault("tokensPerSecond", entry.tokensPerSecond, 0..MAX_TOKENS)
            ?: rangeFault("burstTokens", entry.burstTokens, 1..MAX_TOKENS)
    is Key -> if (hashValid(entry.hash.hex)) null else "hash: 64 lower-case hexadecimal digits" to "'${entry.hash}'"
    is Adapter -> checkAdapter(entry)
    is Route -> nameFault(entry.pool, "") ?: entry.idempotentMethods.firstOrNull { method ->
        method.length !in 1..MAX_METHOD || method.any { it !in 'A'..'Z' }
    }?.let { "idempotentMethods: upper-case HTTP methods" to "'$it'" }
    is DataCentre -> nameFault(entry.region, "")?.let { "region: ${it.first}" to it.second }
    is Endpoint -> null
    is LoadBudget ->
        rangeFault("loadsPerSecond", entry.loadsPerSecond, 1L..MAX_LOADS)
            ?: rangeFault("inFlight", entry.inFlight.toLong(), 1L..MAX_LOADS)
}

private fun checkAdapter(adapter: Adapter): Fault? {
    val versions = adapter.versions
    val ascending = versions.zipWithNext().all { (a, b) -> a < b }
    return when {
        !plain(adapter.base.name, "/") -> "base: a name of $NAME_RULE" to "'${adapter.base}'"
        versions.size !in 1..MAX_VERSIONS -> "versions: 1 to $MAX_VERSIONS of them" to "${versions.size}"
        versions[0] < 1 || !ascending -> "versions: positive numbers in ascending order" to "$versions"
        adapter.current !in versions -> "current: one of the versions $versions" to "${adapter.current}"
        else -> null
    }
}

private fun checkSettings(settings: Settings): Fault? {
    val allowed = settings.allow?.size ?: 0
    if (allowed > MAX_ALLOW) return "allow: at most $MAX_ALLOW accounts" to "$allowed"
    return settingSpecs.firstNotNullOfOrNull { spec ->
        val value = (spec.own(settings) as? Number)?.toLong()
        if (value == null || spec.range == null) null else rangeFault(spec.name, value, spec.range)
    }
}

private fun rangeFault(name: String, value: Long, range: LongRange): Fault? =
    if (value in range) null else "$name: ${range.first} to ${range.last}" to "$value"

private fun hashValid(hex: String): Boolean =
    hex.length == HASH_DIGITS && hex.all { it in '0'..'9' || it in 'a'..'f' }

private const val NAME_RULE = "1 to 128 letters, digits or . _ : -"
private const val MAX_NAME = 128
private const val RESERVED = "/v1"
private const val HASH_DIGITS = 64
private const val MAX_METHOD = 16
private const val MAX_LOADS = 100_000L

// Parts of a million multiply these in 64-bit arithmetic.
private const val MAX_TOKENS = 1_000_000_000_000L

// With names of at most 128 characters, these keep any entry below half a chunk.
private const val MAX_VERSIONS = 1_000
private const val MAX_ALLOW = 800
private const val MAX_WHO = 200
private const val MAX_WHY = 2_000

// A first import of the planned 78,000 adapters fits.
private const val MAX_EDITS = 200_000
