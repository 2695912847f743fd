package io.camphordrum.ctl

import io.camphordrum.core.config.Account
import io.camphordrum.core.config.Adapter
import io.camphordrum.core.config.DataCentre
import io.camphordrum.core.config.Endpoint
import io.camphordrum.core.config.Key
import io.camphordrum.core.config.LoadBudget
import io.camphordrum.core.config.Route
import io.camphordrum.core.config.Section
import io.camphordrum.core.config.SettingInfo
import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject

/** Prints the reference page; a test compares it with `docs/tree-reference.md`. */
class ReferenceCommand(session: Session) : Command("reference", "Print the reference page of the tree", session) {
    override fun run(): ExitCode {
        val page = referencePage()
        console.printResult(buildJsonObject { put("page", JsonPrimitive(page)) }) { page.trimEnd() }
        return ExitCode.DONE
    }
}

/** Returns the reference page in Markdown. */
fun referencePage(): String = buildString {
    appendLine("# Reference of the configuration tree")
    appendLine()
    appendLine("This page is printed by `camphordrum reference`.")
    appendLine()
    appendLine("A path names an entry, such as `drafting/adapters/reports`, the settings of a branch, such as")
    appendLine(
        "`drafting/settings`, or a branch, such as `drafting`. Names are unique in their section over all branches.",
    )
    for (section in Section.entries) {
        appendLine()
        appendLine("## `${section.key}`")
        appendLine()
        appendLine("${section.meaning.replaceFirstChar(Char::uppercase)}.")
        appendLine()
        append(if (section == Section.SETTINGS) settingsTable() else fieldsTable(section))
    }
    appendLine()
    appendLine("## Exit codes of `camphordrum`")
    appendLine()
    append(table(listOf("code", "meaning"), ExitCode.entries.map { listOf("${it.number}", it.meaning) }))
    appendLine()
    appendLine("The parser of arguments ends with 127 when it does not know a command or an option.")
}

private fun settingsTable(): String = table(
    listOf("name", "default", "values", "meaning"),
    SettingInfo.all().map { listOf("`${it.name}`", "`${it.default}`", it.range, it.meaning) },
)

private fun fieldsTable(section: Section): String {
    val descriptor = serializerOf(section).descriptor
    val rows = (0 until descriptor.elementsCount).map { index ->
        val required = if (descriptor.isElementOptional(index)) "no" else "yes"
        listOf("`${descriptor.getElementName(index)}`", typeName(descriptor.getElementDescriptor(index)), required)
    }
    return table(listOf("field", "type", "required"), rows)
}

private fun serializerOf(section: Section): KSerializer<*> = when (section) {
    Section.ACCOUNTS -> Account.serializer()
    Section.KEYS -> Key.serializer()
    Section.ADAPTERS -> Adapter.serializer()
    Section.ROUTES -> Route.serializer()
    Section.DATA_CENTRES -> DataCentre.serializer()
    Section.ENDPOINTS -> Endpoint.serializer()
    Section.LOAD_BUDGETS -> LoadBudget.serializer()
    Section.SETTINGS -> error("settings have a table of their own")
}

private fun typeName(descriptor: SerialDescriptor): String = when {
    descriptor.isInline -> typeName(descriptor.getElementDescriptor(0))
    descriptor.kind == SerialKind.ENUM ->
        (0 until descriptor.elementsCount).joinToString(" or ") { "`${descriptor.getElementName(it)}`" }
    descriptor.kind == StructureKind.LIST -> "list of ${typeName(descriptor.getElementDescriptor(0))}"
    descriptor.kind == PrimitiveKind.BOOLEAN -> "true or false"
    descriptor.kind == PrimitiveKind.STRING -> "text"
    else -> "number"
}

private fun table(headers: List<String>, rows: List<List<String>>): String =
    (listOf(headers, headers.map { "---" }) + rows).joinToString("") { "| ${it.joinToString(" | ")} |\n" }
