package io.camphordrum.core.config

import io.camphordrum.core.AccountId

/** Applies edits to [tree] and validates the affected entries. */
internal class TreeUpdate(private val tree: Tree) {
    private val errors = ArrayList<TreeError>()

    // Equal entries share one object, because most adapters of a base model have the same few versions.
    private val internedEntries = HashMap<Entry, Entry>()
    private val updates = Section.entries.associateWith { LinkedHashMap<String, Entry?>() }

    fun apply(revision: Long, edits: List<Edit>): ApplyResult {
        // Removals are applied first, so that the order of edits within a change does not matter.
        for (edit in edits) if (edit is Edit.Remove) remove(edit.path)
        val seenPaths = HashSet<String>()
        for (edit in edits) if (edit is Edit.Put) put(edit, seenPaths)
        if (errors.isNotEmpty()) return ApplyResult.Invalid(errors.take(MAX_ERRORS))
        val sections = tree.sections.mapValues { (section, map) -> map.update(updates.getValue(section)) }
        val models = updateModels()
        val keyHashes = updateKeyHashes()
        val nonAdaptersChanged = updates.any { (section, map) -> section != Section.ADAPTERS && map.isNotEmpty() }
        val views = if (nonAdaptersChanged) Views.of(sections) else tree.views
        if (nonAdaptersChanged) errors += TreeCheck(sections, views).errors()
        if (errors.isNotEmpty()) return ApplyResult.Invalid(errors.take(MAX_ERRORS))
        return ApplyResult.Applied(Tree(revision, sections, models, keyHashes, views))
    }

    private fun remove(path: String) {
        val parsed = TreePath.parse(path)
        if (parsed.section != null) {
            if (tree.entry(path) == null) errors += TreeError(path, "an entry to remove", "none")
            updates.getValue(parsed.section)[path] = null
            return
        }
        val paths = Section.entries.flatMap { tree.sections.getValue(it).keys("$path/", "$path$AFTER_SLASH") }
        if (path.isEmpty() || paths.isEmpty()) errors += TreeError(path, "a branch to remove", "none")
        for (below in paths) updates.getValue(TreePath.parse(below).section!!)[below] = null
    }

    private fun put(edit: Edit.Put, seenPaths: MutableSet<String>) {
        val parsed = TreePath.parse(edit.path)
        val error = if (!seenPaths.add(edit.path)) {
            TreeError(edit.path, "one edit of a path", "several")
        } else {
            checkEntry(parsed, edit)
        }
        if (error != null) {
            errors += error
        } else {
            updates.getValue(parsed.section!!)[edit.path] = internedEntries.getOrPut(edit.entry) { edit.entry }
        }
    }

    private fun updateModels(): PagedMap<LocatedAdapter> {
        val branches = HashMap<String, String>()
        val changed = HashMap<String, LocatedAdapter?>()
        val edits = updates.getValue(Section.ADAPTERS)
        for ((path, entry) in edits) if (entry == null) changed[TreePath.parse(path).name] = null
        for ((path, entry) in edits) {
            if (entry !is Adapter) continue
            val parsed = TreePath.parse(path)
            val existing = if (parsed.name in changed) changed[parsed.name] else tree.models[parsed.name]
            if (existing != null && existing.branch != parsed.branch) {
                val other = TreePath(existing.branch, Section.ADAPTERS, parsed.name)
                errors += TreeError(path, "a name that no other adapter has", "the name of $other")
            }
            val branch = branches.getOrPut(parsed.branch) { parsed.branch }
            changed[parsed.name] = LocatedAdapter(branch, entry)
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

        // The character that follows '/' in ASCII; it ends the key range of a branch.
        const val AFTER_SLASH = '0'
    }
}

/** Validates all sections but adapters as a whole: names are unique and referenced accounts exist. */
internal class TreeCheck(private val sections: Map<Section, PagedMap<Entry>>, private val views: Views) {
    private val errors = ArrayList<TreeError>()

    fun errors(): List<TreeError> {
        for (section in Section.entries - Section.ADAPTERS - Section.SETTINGS) checkUniqueNames(section)
        val hashes = HashMap<String, String>()
        sections.getValue(Section.KEYS).forEach { path, entry ->
            entry as Key
            checkAccount(path, entry.account)
            val other = hashes.put(entry.hash.hex, path)
            if (other != null) errors += TreeError(path, "a key of its own", "the key of $other")
        }
        sections.getValue(Section.SETTINGS).forEach { path, entry ->
            for (account in accountsOf(entry as Settings)) checkAccount(path, account)
            val effective = views.settings(TreePath.parse(path).branch)
            if (effective.open && effective.openAccount == null) {
                errors += TreeError(path, "an openAccount where open is true", "none")
            }
        }
        return errors
    }

    private fun checkAccount(path: String, account: AccountId) {
        if (account !in views.limits) errors += TreeError(path, "a declared account", "'${account.name}'")
    }

    private fun checkUniqueNames(section: Section) {
        val paths = HashMap<String, String>()
        sections.getValue(section).forEach { path, _ ->
            val other = paths.put(TreePath.parse(path).name, path)
            if (other != null) errors += TreeError(path, "a name of its own in ${section.key}", "the name of $other")
        }
    }
}
