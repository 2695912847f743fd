package io.camphordrum.core.config

import io.camphordrum.core.AccountId
import io.camphordrum.core.BaseModelId
import kotlin.random.Random
import kotlin.test.assertIs

internal val demo = AccountId("demo")
internal val county = AccountId("county")

internal fun change(id: String, base: Long, vararg edits: Edit, who: String = "ada") =
    Change(id, base, who, epochMillis = 1_000, why = "test", edits = edits.toList())

internal fun put(path: String, entry: Entry) = Edit.Put(path, entry)

internal fun adapter(current: Int, vararg olderVersions: Int) =
    Adapter(BaseModelId("base-1"), current, (olderVersions.toList() + current).sorted())

internal fun Tree.with(vararg edits: Edit): Tree =
    assertIs<ApplyResult.Applied>(apply(change("c${revision + 1}", revision, *edits))).tree

internal fun Tree.errors(vararg edits: Edit): List<String> =
    assertIs<ApplyResult.Invalid>(apply(change("c", revision, *edits))).errors.map { it.toString() }

internal fun Tree.allEntries(): Map<String, Entry> = buildMap {
    for (section in Section.entries) forEach(section) { path, entry -> put(path, entry) }
}

internal val twoAccounts = Tree.empty().with(
    put("accounts/demo", Account(10, 100)),
    put("accounts/county", Account(5, 50)),
)

/** Returns edits that are valid for [tree]: puts and removals of adapters, accounts and settings in three branches. */
internal fun randomEdits(tree: Tree, random: Random, count: Int): List<Edit> {
    val edits = LinkedHashMap<String, Edit>()
    repeat(count) {
        val name = "a${random.nextInt(600)}"
        val branch = "b${name.hashCode().mod(3)}"
        val path = "$branch/adapters/$name"
        val edit = when (random.nextInt(8)) {
            0 -> put("$branch/settings", Settings(priority = random.nextInt(9)))
            1 -> put("accounts/x${random.nextInt(20)}", Account(random.nextLong(100), 10))
            in 2..3 -> if (tree.entry(path) != null) Edit.Remove(path) else null
            else -> put(path, adapter(random.nextInt(1, 9)))
        }
        if (edit != null) edits[edit.path] = edit
    }
    return edits.values.toList().ifEmpty { listOf(put("accounts/x0", Account(1, 1))) }
}
