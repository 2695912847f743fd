package io.camphordrum.ctl

import io.camphordrum.core.BaseModelId
import io.camphordrum.core.config.Account
import io.camphordrum.core.config.Adapter
import io.camphordrum.core.config.Edit
import io.camphordrum.core.config.Entry
import io.camphordrum.core.config.Route
import io.camphordrum.core.config.Section
import io.camphordrum.core.config.Tree
import io.camphordrum.core.config.TreePath
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Adds or changes a client account. */
class AccountSetCommand(session: Session) : ChangeCommand("set", "Add or change a client account", session) {
    private val id by argument(ArgType.String, "NAME", "Name of the account")
    private val rate by option(ArgType.String, "rate", null, "Tokens a second over all instances").required()
    private val burst by option(ArgType.String, "burst", null, "Most tokens at once").required()

    override fun defaultReason(): String = "set account $id"

    override fun edits(tree: Tree): List<Edit> {
        val path = existingOrNewPath(tree, Section.ACCOUNTS, id, "")
        return putIfChanged(tree, path, Account(parseNumber("--rate", rate), parseNumber("--burst", burst)))
    }

    private fun parseNumber(option: String, text: String): Long =
        text.toLongOrNull() ?: throw CommandException(ExitCode.USAGE, "$option: expected a number, but was '$text'")
}

/** Adds or changes an adapter. */
class AdapterSetCommand(session: Session) : ChangeCommand("set", "Add or change an adapter", session) {
    private val id by argument(ArgType.String, "NAME", "Name of the adapter")
    private val base by option(ArgType.String, "base", null, "Base model").required()
    private val versions by option(ArgType.String, "versions", null, "Versions, such as 6,7").required()
    private val current by option(ArgType.Int, "current", null, "Version without '@' (default: the newest)")
    private val branch by option(ArgType.String, "branch", "b", "Branch of a new adapter").default("")

    override fun defaultReason(): String = "set adapter $id"

    override fun edits(tree: Tree): List<Edit> {
        val numbers = versions.split(',').map {
            it.trim().toIntOrNull()
                ?: throw CommandException(
                    ExitCode.USAGE,
                    "--versions: expected numbers such as 6,7, but was '$versions'",
                )
        }.sorted()
        val entry = Adapter(BaseModelId(base), current ?: numbers.last(), numbers)
        return putIfChanged(tree, existingOrNewPath(tree, Section.ADAPTERS, id, branch), entry)
    }
}

/** Makes a version the current one and adds it to the versions of the adapter if it is missing there. */
class AdapterCurrentCommand(session: Session) :
    ChangeCommand("current", "Make a version the current one", session) {
    private val id by argument(ArgType.String, "NAME", "Name of the adapter")
    private val version by argument(ArgType.Int, "VERSION", "The version")

    override fun defaultReason(): String = "make $id@$version current"

    override fun edits(tree: Tree): List<Edit> {
        val path = findPath(tree, Section.ADAPTERS, id)
        val adapter = tree.entry(path) as Adapter
        val versions = (adapter.versions + version).distinct().sorted()
        return putIfChanged(tree, path, adapter.copy(current = version, versions = versions))
    }
}

/** Adds or changes a route. */
class RouteSetCommand(session: Session) : ChangeCommand("set", "Add or change a route", session) {
    private val prefix by argument(ArgType.String, "PREFIX", "Path prefix, such as /orders")
    private val pool by option(ArgType.String, "pool", null, "Pool of the plain service").required()
    private val idempotent by option(ArgType.String, "idempotent", null, "Methods that may be repeated")
        .default("GET,HEAD,OPTIONS,PUT,DELETE")
    private val branch by option(ArgType.String, "branch", "b", "Branch of a new route").default("")

    override fun defaultReason(): String = "set route $prefix"

    override fun edits(tree: Tree): List<Edit> {
        val methods = idempotent.split(',').map { it.trim() }.filter { it.isNotEmpty() }.toSet()
        return putIfChanged(tree, existingOrNewPath(tree, Section.ROUTES, prefix, branch), Route(pool, methods))
    }
}

/** Removes an entry of [section]. */
class RemoveCommand(private val section: Section, noun: String, session: Session) :
    ChangeCommand("remove", "Remove the $noun", session) {
    private val id by argument(ArgType.String, "NAME", "Name of the $noun")

    override fun defaultReason(): String = "remove $id from ${section.key}"

    override fun edits(tree: Tree): List<Edit> = listOf(Edit.Remove(findPath(tree, section, id)))
}

/** Lists the entries of [section]. */
class ListCommand(private val section: Section, nouns: String, session: Session) :
    Command("list", "List the $nouns", session) {
    override fun run(): ExitCode = withTree { tree ->
        val entriesByPath = LinkedHashMap<String, Entry>()
        tree.forEach(section) { path, entry -> entriesByPath[path] = entry }
        val json =
            JsonObject(entriesByPath.mapValues { (_, it) -> lenientJson.encodeToJsonElement(Entry.serializer(), it) })
        console.printResult(json) {
            entriesByPath.entries.joinToString("\n") { (path, _) -> entryLine(path, json.getValue(path) as JsonObject) }
        }
        ExitCode.DONE
    }

    private fun entryLine(path: String, fields: JsonObject): String =
        path + fields.filterKeys { it != "type" }.entries.joinToString("") { (name, value) ->
            " $name=${if (value is JsonPrimitive) value.content else value}"
        }
}

/** Returns the path of the entry [name] in any branch, or the path in [branch] if there is no such entry. */
private fun existingOrNewPath(tree: Tree, section: Section, name: String, branch: String): String {
    var existing: String? = null
    tree.forEach(section) { path, _ -> if (TreePath.parse(path).name == name) existing = path }
    return existing ?: TreePath(branch, section, name).toString()
}
