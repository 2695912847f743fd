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
 * Holds the entries that a set of files declares, together with the file that each entry comes from.
 *
 * @property scope the branch that the files declare; empty for the whole tree.
 */
class DeclaredEntries internal constructor(
    val scope: String,
    val entries: Map<String, Entry>,
    private val sources: Map<String, Source>,
) {
    internal class Source(val file: Path, val lines: JsonLines, val branch: String)

    /** Returns the text of [error], preceded by file and line if a file declares the entry. */
    fun locate(error: TreeError): String {
        val source = sources[error.path] ?: return error.toString()
        val path = TreePath.parse(error.path)
        val branches = path.branch.removePrefix(source.branch).split('/').filter { it.isNotEmpty() }
        val keyPath = branches.flatMap { listOf("branches", it) } + listOfNotNull(path.section?.key, path.name)
        // The name of the invalid setting or field, if the message contains one.
        val field = error.expected.substringBefore(':', "")
        return "${source.file}:${source.lines[keyPath.filter { it.isNotEmpty() } + field]}: $error"
    }
}

/** Represents the outcome of reading declarations. */
sealed interface DeclarationResult {
    /** All files were parsed; the validity of the tree is checked separately. */
    data class Read(val entries: DeclaredEntries) : DeclarationResult

    /** At least one file could not be read; each message names file, line and path. */
    data class Unreadable(val messages: List<String>) : DeclarationResult
}

/**
 * Reads a declaration from a file or a directory.
 *
 * In a directory, `tree.json` declares the root, `name.json` the branch `name`, and `dir/name.json` the branch
 * `dir/name`.
 */
class DeclarationReader(private val scope: String = "") {
    private val entries = sortedMapOf<String, Entry>()
    private val sources = HashMap<String, DeclaredEntries.Source>()
    private val messages = ArrayList<String>()

    /** Reads the file or directory at [path] and collects the errors of all files. */
    fun read(path: Path): DeclarationResult {
        val files = listFiles(path)
        if (files.isEmpty()) messages += "$path: expected a file or a directory with .json files, but there is none"
        for ((file, branch) in files) readFile(file, listOf(scope, branch).filter { it.isNotEmpty() }.joinToString("/"))
        if (messages.isNotEmpty()) return DeclarationResult.Unreadable(messages)
        return DeclarationResult.Read(DeclaredEntries(scope, entries, sources))
    }

    private fun listFiles(path: Path): List<Pair<Path, String>> {
        if (!path.isDirectory()) return if (path.isRegularFile()) listOf(path to "") else emptyList()
        val jsonFiles = Files.walk(path).use { walk ->
            walk.filter { it.isRegularFile() && it.extension == "json" }.sorted().toList()
        }
        return jsonFiles.map { file ->
            val parent = file.parent.relativeTo(path).joinToString("/")
            val name = file.nameWithoutExtension.takeUnless { it == ROOT_FILE_NAME }.orEmpty()
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
        for ((path, line) in lines.duplicateKeys()) {
            messages += "$file:$line: ${path.joinToString("/")}: expected a unique name, but it occurs twice"
        }
        val declaration = try {
            strictJson.decodeFromString(Declaration.serializer(), text)
        } catch (e: SerializationException) {
            messages += "$file:${errorLine(e, text, lines)}: ${firstLine(e)}"
            return
        } catch (e: IllegalArgumentException) {
            messages += "$file: ${firstLine(e)}"
            return
        }
        addEntries(declaration, DeclaredEntries.Source(file, lines, branch))
    }

    private fun addEntries(declaration: Declaration, source: DeclaredEntries.Source) {
        for ((path, entry) in declaration.entries(source.branch)) {
            val previous = sources.put(path, source)
            if (previous != null) {
                messages += "${source.file}: expected $path in one file, but it is also in ${previous.file}"
            }
            entries[path] = entry
        }
    }

    // The parser reports a character offset, or a path such as $.accounts['demo'].burstTokens.
    private fun errorLine(e: SerializationException, text: String, lines: JsonLines): Int {
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
        const val ROOT_FILE_NAME = "tree"
    }
}
