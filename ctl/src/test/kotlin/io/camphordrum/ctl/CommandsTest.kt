package io.camphordrum.ctl

import io.camphordrum.core.AccountId
import io.camphordrum.core.config.Account
import io.camphordrum.core.config.Change
import io.camphordrum.core.config.Edit
import io.camphordrum.core.config.KeyHasher
import io.camphordrum.core.config.ModelResolution
import io.camphordrum.core.config.Snapshot
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

class CommandsTest {
    @TempDir
    lateinit var directory: Path
    private val daemon = FakeDaemon()
    private var out = ""
    private var err = ""
    private val example = Path.of("../examples/tree.json")

    @AfterEach
    fun stop() = daemon.close()

    private fun run(vararg args: String, environment: Map<String, String> = emptyMap()): ExitCode {
        val standardOutput = ByteArrayOutputStream()
        val standardError = ByteArrayOutputStream()
        val defaultEnvironment = mapOf("CAMPHORDRUM_SERVER" to daemon.address, "CAMPHORDRUM_WHO" to "ada")
        val session = Session(
            Console(PrintStream(standardOutput), PrintStream(standardError)),
            defaultEnvironment + environment,
            sleep = {},
        )
        return run(session, arrayOf(*args)).also {
            out = standardOutput.toString().trim()
            err = standardError.toString().trim()
        }
    }

    private fun writeFile(name: String, text: String): String = directory.resolve(name).let {
        Files.createDirectories(it.parent)
        Files.writeString(it, text)
        it.toString()
    }

    private fun commitOtherChange() {
        val edit = Edit.Put("accounts/other", Account(1, 1))
        daemon.apply(Change("other-1", daemon.tree.revision, "bob", 0, "new client", listOf(edit)))
    }

    @Nested
    inner class Applying {
        @Test
        fun `applying the example a second time changes nothing`() {
            assertEquals(ExitCode.DONE, run("apply", "$example", "--why", "first"), err)
            assertEquals("first" to "ada", daemon.records.single().change.let { it.why to it.who })
            assertEquals(ExitCode.DONE, run("apply", "$example"))
            assertEquals("nothing to change at revision 1", out)
            val key = KeyHasher("quickstart-secret").hash("county-key-1")
            assertEquals(AccountId("county"), Snapshot(daemon.tree).account(key))
        }

        @Test
        fun `a dry run prints the difference and changes nothing`() {
            run("apply", "$example")
            val text = Files.readString(
                example,
            ).replace("\"current\": 7", "\"current\": 6").replace(Regex("\"erosion\".*"), "")
            assertEquals(ExitCode.DIFFERENT, run("apply", writeFile("t.json", text), "--dry-run"))
            val removed = "- drafting/adapters/erosion: base \"base-1\", current 1, versions [1]"
            assertEquals("$removed\n~ drafting/adapters/reports\n    current: 7 -> 6", out)
            assertEquals(1, daemon.tree.revision)
            assertEquals(ExitCode.DIFFERENT, run("diff", writeFile("t.json", text)))
        }

        @Test
        fun `a conflict prints the change that was committed first`() {
            daemon.beforeNextChange = ::commitOtherChange
            assertEquals(ExitCode.CONFLICT, run("apply", "$example"))
            assertTrue("revision 1 by bob" in err && "put accounts/other" in err, err)
            assertEquals(1, daemon.tree.revision)
        }

        @Test
        fun `apply keeps issued keys and drains unless exact is set`() {
            run("apply", "$example")
            run(
                "key",
                "issue",
                "extra",
                "--account",
                "demo",
                environment = mapOf(
                    "CAMPHORDRUM_KEY_SECRET" to "quickstart-secret",
                ),
            )
            run("drain", "data-centre", "a")
            assertEquals(ExitCode.DONE, run("apply", "$example"))
            assertEquals(3, daemon.tree.revision)
            run("apply", "$example", "--exact")
            assertEquals(
                setOf("keys/extra", "dataCentres/a"),
                daemon.records.last().change.edits.map {
                    it.path
                }.toSet(),
            )
        }

        @Test
        fun `a file declares one branch and a directory several branches`() {
            run("apply", "$example")
            val branch =
                writeFile(
                    "d/drafting.json",
                    """{"adapters": {"new": {"base": "base-1", "current": 1, "versions": [1]}}}""",
                )
            assertEquals(ExitCode.DONE, run("apply", branch, "--branch", "drafting"), err)
            assertIs<ModelResolution.Found>(Snapshot(daemon.tree).resolve("new"))
            assertEquals(ModelResolution.UnknownAdapter, Snapshot(daemon.tree).resolve("reports"))
            writeFile("d/tree.json", """{"accounts": {"demo": {"tokensPerSecond": 1, "burstTokens": 1}}}""")
            writeFile("d/drafting/legal.json", """{"settings": {"allow": ["demo"]}}""")
            assertEquals(ExitCode.DONE, run("check", "$directory/d"), err)
            assertEquals("3 entries, no faults", out)
        }

        @Test
        fun `wait returns when every listed daemon has the revision or the time limit expires`() {
            FakeDaemon().use { second ->
                val both = "${daemon.address},${second.address}"
                val args = arrayOf("apply", "$example", "--wait", "--wait-seconds", "1", "--server", both)
                assertEquals(ExitCode.NOT_YET, run(*args))
                second.tree = daemon.tree
                assertEquals(ExitCode.DONE, run("account", "set", "x", "--rate", "1", "--burst", "1", "--wait"), err)
                assertEquals("revision 2 is accepted and in force", out)
            }
        }
    }

    @Nested
    inner class Failing {
        @Test
        fun `an error message contains file line path and expected value`() {
            val account = "{\n   \"tokensPerSecond\": 1,\n   \"burstTokens\": 0 }"
            val wrong = writeFile("t.json", "// comment\n{\n \"accounts\": {\n  \"demo\": $account } }")
            assertEquals(ExitCode.INVALID, run("check", wrong))
            assertEquals("$wrong:6: accounts/demo: expected burstTokens: 1 to 1000000000000, but was 0", err)
        }

        @Test
        fun `a misspelt name and a repeated name are rejected with their line`() {
            val misspelt = writeFile("m.json", "{\n \"acounts\": {}\n}")
            assertEquals(ExitCode.INVALID, run("check", misspelt))
            assertTrue(err.startsWith("$misspelt:2: ") && "acounts" in err, err)
            val twice = writeFile("d.json", "{ \"endpoints\": {\n \"e\": {},\n \"e\": {} } }")
            assertEquals(ExitCode.INVALID, run("check", twice))
            assertEquals("$twice:3: endpoints/e: expected a unique name, but it occurs twice", err)
        }

        @Test
        fun `an unreachable daemon and an unavailable platform are reported as unavailable`() {
            assertEquals(ExitCode.UNAVAILABLE, run("status", "--server", "http://127.0.0.1:1"))
            daemon.fault = FakeDaemon.Fault.UNAVAILABLE
            assertEquals(ExitCode.UNAVAILABLE, run("apply", "$example"))
            assertTrue("platform" in err, err)
        }

        @Test
        fun `a change whose answer is lost is retried with the same id and applied once`() {
            daemon.fault = FakeDaemon.Fault.ANSWER_LOST
            assertEquals(ExitCode.DONE, run("apply", "$example"))
            assertEquals(1, daemon.records.size)
            assertEquals(2, daemon.requestBodies.size)
        }

        @Test
        fun `errors are objects in json output`() {
            assertEquals(ExitCode.NOT_FOUND, run("key", "withdraw", "none", "--output", "json"))
            assertEquals("not_found", Json.parseToJsonElement(out).jsonObject["code"]?.jsonPrimitive?.content)
        }
    }

    @Nested
    inner class Keys {
        private val secret = mapOf("CAMPHORDRUM_KEY_SECRET" to "quickstart-secret")

        @Test
        fun `an issued key is valid and is never sent to the daemon`() {
            run("apply", "$example")
            assertEquals(
                ExitCode.DONE,
                run("key", "issue", "k", "--account", "demo", "-o", "json", environment = secret),
            )
            val key = Json.parseToJsonElement(out).jsonObject.getValue("key").jsonPrimitive.content
            assertEquals(AccountId("demo"), Snapshot(daemon.tree).account(KeyHasher("quickstart-secret").hash(key)))
            assertFalse(daemon.requestBodies.any { key in it || "quickstart-secret" in it })
            assertEquals(ExitCode.DONE, run("key", "withdraw", "k"))
            assertEquals(null, Snapshot(daemon.tree).account(KeyHasher("quickstart-secret").hash(key)))
        }

        @Test
        fun `a key is not issued without a secret or under a name in use`() {
            run("apply", "$example")
            assertEquals(ExitCode.USAGE, run("key", "issue", "k", "--account", "demo"))
            assertEquals(ExitCode.INVALID, run("key", "issue", "demo-1", "--account", "demo", environment = secret))
        }

        @Test
        fun `a key withdrawal is retried after a conflict`() {
            run("apply", "$example")
            daemon.beforeNextChange = ::commitOtherChange
            assertEquals(ExitCode.DONE, run("key", "withdraw", "demo-1"), err)
            assertEquals(3, daemon.tree.revision)
        }
    }

    @Nested
    inner class Steering {
        @Test
        fun `commands set and remove single entries`() {
            run("apply", "$example")
            val commands = listOf(
                "account set small --rate 10 --burst 100",
                "adapter set fresh --base base-1 --versions 2,1 --branch drafting",
                "adapter current fresh 3",
                "route set /tables --pool tables --idempotent GET",
                "drain endpoint engine-1",
                "return endpoint engine-1",
                "drain data-centre b",
                "adapter remove erosion",
            )
            for (command in commands) {
                assertEquals(
                    ExitCode.DONE,
                    run(*command.split(' ').toTypedArray()),
                    "$command: $err",
                )
            }
            assertEquals(9, daemon.tree.revision)
            assertEquals(
                "fresh@3",
                assertIs<ModelResolution.Found>(Snapshot(daemon.tree).resolve("fresh")).version.toString(),
            )
            assertEquals(ExitCode.NOT_FOUND, run("drain", "data-centre", "z"))
        }

        @Test
        fun `a rollback is a new change that does not restore keys`() {
            run("apply", "$example")
            val before = daemon.tree.toDeclaration()
            run("adapter", "remove", "erosion")
            run("adapter", "current", "reports", "6")
            run("adapter", "current", "reports", "8")
            run("key", "withdraw", "demo-1")
            assertEquals(ExitCode.DONE, run("rollback", "1"), err)
            assertEquals(6, daemon.tree.revision)
            assertEquals(before.copy(keys = before.keys - "demo-1"), daemon.tree.toDeclaration())
            assertEquals("rollback to 1", daemon.records.last().change.why)
            assertEquals(ExitCode.USAGE, run("rollback", "9"))
        }

        @Test
        fun `the reference page in the docs equals the printed one`() {
            assertEquals(ExitCode.DONE, run("reference"))
            assertEquals(Files.readString(Path.of("../docs/tree-reference.md")).trim(), out)
        }

        @Test
        fun `instance gone sends the name of the instance`() {
            assertEquals(ExitCode.DONE, run("instance", "gone", "edge-a1"), err)
            assertEquals(listOf("edge-a1"), daemon.goneInstances)
        }

        @Test
        fun `the read commands print the state in force`() {
            run("apply", "$example")
            assertEquals(ExitCode.DONE, run("get", "drafting/adapters/reports"))
            assertTrue("\"current\": 7" in out, out)
            run("get")
            assertEquals(ExitCode.DONE, run("diff", writeFile("copy.json", out)))
            run("explain", "drafting/adapters/reports")
            assertTrue("deadlineMillis 30000 (/)" in out.lines(), out)
            run("history", "--edits")
            assertTrue("revision 1 by ada" in out && "put accounts/demo" in out, out)
            run("status")
            assertTrue("revision: 1" in out.lines(), out)
            run("account", "list")
            assertTrue("accounts/county tokensPerSecond=500 burstTokens=5000" in out.lines(), out)
        }
    }
}
