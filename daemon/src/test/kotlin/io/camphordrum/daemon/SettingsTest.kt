package io.camphordrum.daemon

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Verifies that an error in a settings file reports its place, what was expected and the value found. */
class SettingsTest {
    private val valid = """
        {
          // comments are allowed
          "instance": "edge-1", "dataCentre": "a",
          "callers": { "port": 8081 }, "operators": { "port": 8091 }, "peers": { "port": 8101 },
          "platformUrl": "http://127.0.0.1:9000", "keySecret": "long enough",
        }
    """.trimIndent()

    private fun errorOf(text: String) = assertIs<SettingsResult.Invalid>(Settings.parse(text, "edge.json")).message

    @Nested
    inner class Valid {
        @Test
        fun `comments and trailing commas are accepted`() {
            val settings = assertIs<SettingsResult.Valid>(Settings.parse(valid, "edge.json")).settings
            assertEquals("edge-1", settings.instance)
        }
    }

    @Nested
    inner class Invalid {
        @Test
        fun `an unknown field names the file and the line`() {
            val message = errorOf(valid.replace("\"instance\"", "\"instnace\": 1, \"instance\""))
            assertContains(message, "edge.json: line 3")
            assertContains(message, "instnace")
        }

        @Test
        fun `a port out of range names the field and the value`() {
            assertContains(errorOf(valid.replace("8101", "70000")), "peers.port: expected 1 to 65535, but was 70000")
        }

        @Test
        fun `a short key secret is refused without showing it`() {
            val message = errorOf(valid.replace("long enough", "short"))
            assertContains(message, "keySecret: expected at least 8 characters, but was 5")
        }

        @Test
        fun `an unknown log level names the levels`() {
            val message = errorOf(valid.replace("\"dataCentre\"", "\"logLevel\": \"LOUD\", \"dataCentre\""))
            assertContains(message, "logLevel: expected one of ERROR, WARN, INFO, DEBUG, TRACE, but was LOUD")
        }

        @Test
        fun `a missing file is reported with its name`() {
            val result = Settings.read(java.nio.file.Path.of("does-not-exist.json"))
            assertContains(assertIs<SettingsResult.Invalid>(result).message, "does-not-exist.json")
        }
    }

    @Nested
    inner class Page {
        /** Guards against a field that is added to the settings but not to the operators' documentation. */
        @Test
        fun `every field has a row on the settings page`() {
            val root = System.getProperty("maven.multiModuleProjectDirectory") ?: ".."
            val rows = java.nio.file.Files.readAllLines(java.nio.file.Path.of(root, "docs", "settings.md"))
            val descriptor = Settings.serializer().descriptor
            val fields = (0 until descriptor.elementsCount).map { descriptor.getElementName(it) }
            val documentedFields = rows.mapNotNull { Regex("^\\| `(\\w+)` \\|").find(it)?.groupValues?.get(1) }
            assertEquals(fields, documentedFields)
        }
    }
}
