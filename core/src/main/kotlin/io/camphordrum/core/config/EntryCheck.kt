package io.camphordrum.core.config

/** Returns the error of [edit] itself, or null if it is valid; [parsed] is its parsed path. */
internal fun checkEntry(parsed: TreePath, edit: Edit.Put): TreeError? {
    val section = sectionOf(edit.entry)
    val path = edit.path
    val mismatch = when {
        parsed.section == null -> "a path that names a section" to "'$path'"
        parsed.toString() != path -> "the path '$parsed'" to "'$path'"
        parsed.section != section -> "an entry of ${parsed.section.key}" to "one of ${section.key}"
        !isValidBranch(parsed.branch) -> "branch names of $NAME_RULE" to "'${parsed.branch}'"
        else -> checkName(section, parsed.name) ?: checkValue(edit.entry)
    } ?: return null
    return TreeError(path, mismatch.first, mismatch.second)
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

/** Returns the errors of [change], apart from those in its edits. */
internal fun checkChange(change: Change): List<TreeError> = listOfNotNull(
    TreeError("change/id", "a name of $NAME_RULE", "'${change.id}'").takeUnless { isValidName(change.id, "") },
    TreeError("change/who", "1 to $MAX_WHO_LENGTH characters", "${change.who.length}")
        .takeUnless { change.who.isNotBlank() && change.who.length <= MAX_WHO_LENGTH },
    TreeError("change/why", "at most $MAX_WHY_LENGTH characters", "${change.why.length}")
        .takeUnless { change.why.length <= MAX_WHY_LENGTH },
    TreeError("change/edits", "1 to $MAX_EDITS edits", "${change.edits.size}")
        .takeUnless { change.edits.size in 1..MAX_EDITS },
)

// Pairs the expected with the received value.
private typealias Mismatch = Pair<String, String>

private fun isValidBranch(branch: String): Boolean =
    branch.isEmpty() || (branch.length <= MAX_NAME_LENGTH && branch.split('/').all { isValidName(it, "") })

private fun checkName(section: Section, name: String): Mismatch? = when (section) {
    Section.SETTINGS -> if (name.isEmpty()) null else "nothing after 'settings'" to "'$name'"
    Section.ROUTES -> when {
        !name.startsWith('/') || (name.length > 1 && !isValidName(name.drop(1), "/~%+")) -> "a path prefix" to "'$name'"
        name == RESERVED_PREFIX || name.startsWith("$RESERVED_PREFIX/") ->
            "a prefix outside $RESERVED_PREFIX" to "'$name'"
        else -> null
    }
    // Model names may have an owner prefix; '@' separates the version, so names must not contain it.
    Section.ADAPTERS, Section.LOAD_BUDGETS -> checkNameChars(name, "/")
    else -> checkNameChars(name, "")
}

private fun checkNameChars(name: String, extraChars: String): Mismatch? =
    if (isValidName(name, extraChars)) null else "a name of $NAME_RULE" to "'$name'"

private fun isValidName(name: String, extraChars: String): Boolean = name.length in 1..MAX_NAME_LENGTH &&
    name.all { it in 'a'..'z' || it in 'A'..'Z' || it in '0'..'9' || it in "._:-" || it in extraChars }

private fun checkValue(entry: Entry): Mismatch? = when (entry) {
    is Settings -> checkSettings(entry)
    is Account ->
        checkRange("tokensPerSecond", entry.tokensPerSecond, 0..MAX_TOKENS)
            ?: checkRange("burstTokens", entry.burstTokens, 1..MAX_TOKENS)
    is Key -> if (isValidHash(entry.hash.hex)) null else "hash: 64 lower-case hexadecimal digits" to "'${entry.hash}'"
    is Adapter -> checkAdapter(entry)
    is Route -> checkNameChars(entry.pool, "") ?: entry.idempotentMethods.firstOrNull { method ->
        method.length !in 1..MAX_METHOD_LENGTH || method.any { it !in 'A'..'Z' }
    }?.let { "idempotentMethods: upper-case HTTP methods" to "'$it'" }
    is DataCentre -> checkNameChars(entry.region, "")?.let { "region: ${it.first}" to it.second }
    is Endpoint -> null
    is LoadBudget ->
        checkRange("loadsPerSecond", entry.loadsPerSecond, 1L..MAX_LOADS)
            ?: checkRange("inFlight", entry.inFlight.toLong(), 1L..MAX_LOADS)
}

private fun checkAdapter(adapter: Adapter): Mismatch? {
    val versions = adapter.versions
    val ascending = versions.zipWithNext().all { (a, b) -> a < b }
    return when {
        !isValidName(adapter.base.name, "/") -> "base: a name of $NAME_RULE" to "'${adapter.base}'"
        versions.size !in 1..MAX_VERSIONS -> "versions: 1 to $MAX_VERSIONS of them" to "${versions.size}"
        versions[0] < 1 || !ascending -> "versions: positive numbers in ascending order" to "$versions"
        adapter.current !in versions -> "current: one of the versions $versions" to "${adapter.current}"
        else -> null
    }
}

private fun checkSettings(settings: Settings): Mismatch? {
    val allowed = settings.allow?.size ?: 0
    if (allowed > MAX_ALLOWED_ACCOUNTS) return "allow: at most $MAX_ALLOWED_ACCOUNTS accounts" to "$allowed"
    return settingSpecs.firstNotNullOfOrNull { spec ->
        val value = (spec.declared(settings) as? Number)?.toLong()
        if (value == null || spec.range == null) null else checkRange(spec.name, value, spec.range)
    }
}

private fun checkRange(name: String, value: Long, range: LongRange): Mismatch? =
    if (value in range) null else "$name: ${range.first} to ${range.last}" to "$value"

private fun isValidHash(hex: String): Boolean =
    hex.length == HASH_DIGITS && hex.all { it in '0'..'9' || it in 'a'..'f' }

private const val NAME_RULE = "1 to 128 letters, digits or . _ : -"
private const val MAX_NAME_LENGTH = 128
private const val RESERVED_PREFIX = "/v1"
private const val HASH_DIGITS = 64
private const val MAX_METHOD_LENGTH = 16
private const val MAX_LOADS = 100_000L

// Token counts are multiplied by parts per million in 64-bit arithmetic.
private const val MAX_TOKENS = 1_000_000_000_000L

// With names of at most 128 characters, these limits keep every entry below half the chunk size.
private const val MAX_VERSIONS = 1_000
private const val MAX_ALLOWED_ACCOUNTS = 800
private const val MAX_WHO_LENGTH = 200
private const val MAX_WHY_LENGTH = 2_000

// Allows the initial import of a large tree (78,000 adapters) in one change.
private const val MAX_EDITS = 200_000
