package io.camphordrum.ctl

import io.camphordrum.core.config.Declaration
import io.camphordrum.core.config.Entry
import io.camphordrum.core.config.TreeError
import io.camphordrum.core.config.TreePath
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.isDirectory
import kotlin.io.path.isRegularFile
import kotlin.io.path.nameWithoutExtension
import kotlin.io.path.relativeTo

/**
 * Holds the entries that files declare, with the places they come from.
 *
 * @property scope the branch that is declared; empty for the whole tree.
 */
class Declared internal constructor(
    val scope: String,
    val entries: Map<String, Entry>,
    private val places: Map<String, Place>,
) {
    internal class Place(val file: Path, val lines: JsonLines, val branch: String)

    /** Returns [error] with the file and line that it is about, as far as one is. */
    fun locate(error: TreeError): String {
        val place = places[error.path] ?: return error.toString()
        val path = TreePath.parse(error.path)
        val branches = path.branch.removePrefix(place.branch).split('/').filter { it.isNotEmpty() }
        val keys = branches.flatMap { listOf("branches", it) } + listOfNotNull(path.section?.key, path.name)
        // The setting or field at fault, when the message names one.
        val field = error.expected.substringBefore(':', "")
        return "${place.file}:${place.lines[keys.filter { it.isNotEmpty() } + field]}: $error"
    }
}

/** Tells how reading declarations ended. */
sealed interface DeclaredResult {
    /** The files are readable; whether the tree is valid is checked apart. */
    data class Read(val declared: Declared) : DeclaredResult

    /** A file cannot be read; each message names file, line and path. */
    data class Unreadable(val messages: List<String>) : DeclaredResult
}

/**
 * Reads a declaration from a file, or from a directory.
 *
 * In a directory, `tree.json` declares the root, `name.json` the branch `name`, and `dir/name.json` the branch
 * `dir/name`.
 */
class DeclarationReader(private val scope: String = "") {
    private val entries = sortedMapOf<String, Entry>()
    private val places = HashMap<String, Declared.Place>()
    private val messages = ArrayList<String>()

    /** Reads [path]. */
    fun read(path: Path): DeclaredResult {
        val files = files(path)
        if (files.isEmpty()) messages += "$path: expected a file or a directory with .json files, but there is none"
        for ((file, branch) in files) readFile(file, listOf(scope, branch).filter { it.isNotEmpty() }.joinToString("/"))
        if (messages.isNotEmpty()) return DeclaredResult.Unreadable(messages)
        return DeclaredResult.Read(Declared(scope, entries, places))
    }

    private fun files(path: Path): List<Pair<Path, String>> {
        if (!path.isDirectory()) return if (path.isRegularFile()) listOf(path to "") else emptyList()
        val found = Files.walk(path).use { walk ->
            walk.filter { it.isRegularFile() && it.extension == "json" }.sorted().toList()
        }
        return found.map { file ->
            val parent = file.parent.relativeTo(path).joinToString("/")
            val name = file.nameWithoutExtension.takeUnless { it == ROOT_NAME }.orEmpty()
            file to listOf(parent, name).filter { it.isNotEmpty() }.joinToString("/")
        }
    }

    private fun readFile(file: Path, branch: String) {
        val text = try {
            Files.readString(file)
        } catch (e: IOException) {
            messages += "$file: expected a readable file, but $e"
            return
        }
        val lines = JsonLines.of(text)
        for ((path, line) in lines.doubles()) {
            messages += "$file:$line: ${path.joinToString("/")}: expected a name once, but it stands twice"
        }
        val declaration = try {
            strict.decodeFromString(Declaration.serializer(), text)
        } catch (e: SerializationException) {
            messages += "$file:${faultLine(e, text, lines)}: ${firstLine(e)}"
            return
        } catch (e: IllegalArgumentException) {
            messages += "$file: ${firstLine(e)}"
            return
        }
        add(declaration, Declared.Place(file, lines, branch))
    }

    private fun add(declaration: Declaration, place: Declared.Place) {
        for ((path, entry) in declaration.entries(place.branch)) {
            val other = places.put(path, place)
            if (other != null) messages += "${place.file}: expected $path in one file, but it is also in ${other.file}"
            entries[path] = entry
        }
    }

    // The parser gives a character offset, or a path such as $.accounts['demo'].burstTokens.
    private fun faultLine(e: SerializationException, text: String, lines: JsonLines): Int {
        val message = e.message.orEmpty()
        val offset = Regex("offset (\\d+)").find(message)?.groupValues?.get(1)?.toInt()
        if (offset != null) return text.take(offset).count { it == '\n' } + 1
        val path = Regex("path:? (\\$\\S*)").find(message)?.groupValues?.get(1).orEmpty()
        return lines[
            Regex("\\['([^']*)'\\]|\\.([^.\\[]+)").findAll(path).map {
                it.groupValues[1] + it.groupValues[2]
            }.toList(),
        ]
    }

    private companion object {
        const val ROOT_NAME = "tree"
    }
}
