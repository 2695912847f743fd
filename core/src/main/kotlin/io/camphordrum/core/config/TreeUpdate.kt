package io.camphordrum.core.config

import io.camphordrum.core.AccountId

/** Applies edits to [tree] and checks what they touch. */
internal class TreeUpdate(private val tree: Tree) {
    private val errors = ArrayList<TreeError>()

    // Most adapters of a base model have the same few versions; equal ones share one object.
    private val adapters = HashMap<Entry, Entry>()
    private val updates = Section.entries.associateWith { LinkedHashMap<String, Entry?>() }

    fun apply(revision: Long, edits: List<Edit>): ApplyResult {
        // Removals come first, so that the order of edits within a change has no meaning.
        for (edit in edits) if (edit is Edit.Remove) remove(edit.path)
        val seen = HashSet<String>()
        for (edit in edits) if (edit is Edit.Put) put(edit, seen)
        if (errors.isNotEmpty()) return ApplyResult.Invalid(errors.take(MAX_ERRORS))
        val sections = tree.sections.mapValues { (section, map) -> map.update(updates.getValue(section)) }
        val models = updateModels()
        val keyHashes = updateKeyHashes()
        val small = updates.any { (section, map) -> section != Section.ADAPTERS && map.isNotEmpty() }
        val views = if (small) Views.of(sections) else tree.views
        if (small) errors += TreeCheck(sections, views).errors()
        if (errors.isNotEmpty()) return ApplyResult.Invalid(errors.take(MAX_ERRORS))
        return ApplyResult.Applied(Tree(revision, sections, models, keyHashes, views))
    }

    private fun remove(path: String) {
        val place = TreePath.parse(path)
        if (place.section != null) {
            if (tree.entry(path) == null) errors += TreeError(path, "an entry to remove", "none")
            updates.getValue(place.section)[path] = null
            return
        }
        val below = Section.entries.flatMap { tree.sections.getValue(it).keys("$path/", "$path$AFTER_SLASH") }
        if (path.isEmpty() || below.isEmpty()) errors += TreeError(path, "a branch to remove", "none")
        for (it in below) updates.getValue(TreePath.parse(it).section!!)[it] = null
    }

    private fun put(edit: Edit.Put, seen: MutableSet<String>) {
        val place = TreePath.parse(edit.path)
        val fault = if (!seen.add(edit.path)) {
            TreeError(edit.path, "one edit of a path", "several")
        } else {
            checkEntry(place, edit)
        }
        if (fault != null) {
            errors += fault
        } else {
            updates.getValue(place.section!!)[edit.path] = adapters.getOrPut(edit.entry) { edit.entry }
        }
    }

    private fun updateModels(): PagedMap<LocatedAdapter> {
        val branches = HashMap<String, String>()
        val changed = HashMap<String, LocatedAdapter?>()
        val edits = updates.getValue(Section.ADAPTERS)
        for ((path, entry) in edits) if (entry == null) changed[TreePath.parse(path).name] = null
        for ((path, entry) in edits) {
            if (entry !is Adapter) continue
            val place = TreePath.parse(path)
            val holder = if (place.name in changed) changed[place.name] else tree.models[place.name]
            if (holder != null && holder.branch != place.branch) {
                val other = TreePath(holder.branch, Section.ADAPTERS, place.name)
                errors += TreeError(path, "a name that no other adapter has", "the name of $other")
            }
            val branch = branches.getOrPut(place.branch) { place.branch }
            changed[place.name] = LocatedAdapter(branch, entry)
        }
        return tree.models.update(changed)
    }

    private fun updateKeyHashes(): PagedMap<Key> {
        val changed = HashMap<String, Key?>()
        val edits = updates.getValue(Section.KEYS)
        for (path in edits.keys) (tree.entry(path) as Key?)?.let { changed[it.hash.hex] = null }
        for (entry in edits.values) if (entry is Key) changed[entry.hash.hex] = entry
        return tree.keyHashes.update(changed)
    }

    private companion object {
        const val MAX_ERRORS = 100

        // The character after '/'.
        const val AFTER_SLASH = '0'
    }
}

/** Checks the small sections as a whole: names are unique and accounts exist. */
internal class TreeCheck(private val sections: Map<Section, PagedMap<Entry>>, private val views: Views) {
    private val errors = ArrayList<TreeError>()

    fun errors(): List<TreeError> {
        for (section in Section.entries - Section.ADAPTERS - Section.SETTINGS) uniqueNames(section)
        val hashes = HashMap<String, String>()
        sections.getValue(Section.KEYS).forEach { path, entry ->
            entry as Key
            knownAccount(path, entry.account)
            val other = hashes.put(entry.hash.hex, path)
            if (other != null) errors += TreeError(path, "a key of its own", "the key of $other")
        }
        sections.getValue(Section.SETTINGS).forEach { path, entry ->
            for (account in accountsOf(entry as Settings)) knownAccount(path, account)
            val effective = views.settings(TreePath.parse(path).branch)
            if (effective.open && effective.openAccount == null) {
                errors += TreeError(path, "an openAccount where open is true", "none")
            }
        }
        return errors
    }

    private fun knownAccount(path: String, account: AccountId) {
        if (account !in views.limits) errors += TreeError(path, "a declared account", "'${account.name}'")
    }

    private fun uniqueNames(section: Section) {
        val paths = HashMap<String, String>()
        sections.getValue(section).forEach { path, _ ->
            val other = paths.put(TreePath.parse(path).name, path)
            if (other != null) errors += TreeError(path, "a name of its own in ${section.key}", "the name of $other")
        }
    }
}
