package io.camphordrum.bench

import io.camphordrum.core.AccountId
import io.camphordrum.core.BaseModelId
import io.camphordrum.core.config.Account
import io.camphordrum.core.config.Adapter
import io.camphordrum.core.config.ApplyResult
import io.camphordrum.core.config.Change
import io.camphordrum.core.config.DataCentre
import io.camphordrum.core.config.Edit
import io.camphordrum.core.config.Key
import io.camphordrum.core.config.KeyHash
import io.camphordrum.core.config.Settings
import io.camphordrum.core.config.Tree

/** Hash of the key of the account that sends all requests. */
internal val CAPACITY_KEY = KeyHash("ab".repeat(32))

/** Returns the edits that declare [adapters] adapters and one account with its key. */
internal fun capacityEdits(adapters: Int): List<Edit> = listOf(
    Edit.Put("accounts/account-0", Account(11_000_000, 100_000_000)),
    Edit.Put("keys/key-0", Key(AccountId("account-0"), CAPACITY_KEY)),
    Edit.Put("settings", Settings(allow = setOf(AccountId("account-0")))),
    Edit.Put("dataCentres/dc-1", DataCentre(REGION)),
) + (0 until adapters).map {
    Edit.Put("work/adapters/adapter-$it", Adapter(BaseModelId("base-0"), 2, listOf(1, 2)))
}

/** Returns the tree that results from [capacityEdits], applied in changes of 1,000 edits. */
internal fun capacityTree(adapters: Int): Tree {
    var tree = Tree.empty()
    for (edits in capacityEdits(adapters).chunked(1_000)) {
        val change = Change("setup-${tree.revision}", tree.revision, "bench", 0, "capacity", edits)
        val result = tree.apply(change)
        check(result is ApplyResult.Applied) { "expected a valid tree, but was $result" }
        tree = result.tree
    }
    return tree
}
