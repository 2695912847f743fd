package io.camphordrum.ctl

import io.camphordrum.core.AccountId
import io.camphordrum.core.config.Edit
import io.camphordrum.core.config.Key
import io.camphordrum.core.config.KeyHasher
import io.camphordrum.core.config.Section
import io.camphordrum.core.config.Tree
import io.camphordrum.core.config.TreePath
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.put
import java.security.SecureRandom
import java.util.Base64

/** Issues a key, prints it once and sends only its keyed hash to the daemon. */
class KeyIssueCommand(session: Session) : ChangeCommand("issue", "Issue a key and show it once", session) {
    private val id by argument(ArgType.String, "ID", "Name of the key, by which it is withdrawn")
    private val account by option(ArgType.String, "account", "a", "Client account of the key").required()
    private val branch by option(ArgType.String, "branch", "b", "Branch that holds the key").default("")
    private val secret by option(ArgType.String, "secret", null, "Fleet secret (or CAMPHORDRUM_KEY_SECRET)")
    private val key: String by lazy {
        val bytes = ByteArray(KEY_BYTES).also { SecureRandom().nextBytes(it) }
        Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
    }

    override fun defaultReason(): String = "issue key $id"

    override fun edits(tree: Tree): List<Edit> {
        val fleetSecret = secret ?: session.environment["CAMPHORDRUM_KEY_SECRET"].orEmpty()
        if (fleetSecret.length < MIN_SECRET_LENGTH) {
            val actual = "but was ${fleetSecret.length}"
            throw CommandException(ExitCode.USAGE, "--secret: expected at least $MIN_SECRET_LENGTH characters, $actual")
        }
        val path = TreePath(branch, Section.KEYS, id).toString()
        if (tree.entry(path) != null) {
            throw CommandException(ExitCode.INVALID, "$path: expected a new key, but it exists")
        }
        return listOf(Edit.Put(path, Key(AccountId(account), KeyHasher(fleetSecret).hash(key))))
    }

    override fun JsonObjectBuilder.addResultFields() {
        put("id", id)
        put("key", key)
    }

    override fun resultText(): String = "key $id: $key"

    private companion object {
        const val KEY_BYTES = 32
        const val MIN_SECRET_LENGTH = 8
    }
}

/** Withdraws a key. */
class KeyWithdrawCommand(session: Session) : ChangeCommand("withdraw", "Withdraw a key", session) {
    private val id by argument(ArgType.String, "ID", "Name of the key")

    override fun defaultReason(): String = "withdraw key $id"

    override fun edits(tree: Tree): List<Edit> = listOf(Edit.Remove(findPath(tree, Section.KEYS, id)))
}
