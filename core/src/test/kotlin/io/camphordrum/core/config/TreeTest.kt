package io.camphordrum.core.config

import io.camphordrum.core.AccountId
import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.DataCentreId
import io.camphordrum.core.EndpointId
import io.camphordrum.core.RateLimit
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

class TreeTest {
    @Nested
    inner class Inheritance {
        private val tree = twoAccounts.with(
            put("settings", Settings(priority = 1, allow = setOf(demo))),
            put("a/b/settings", Settings(priority = 2)),
            put("a/b/adapters/x", adapter(3)),
        )

        @Test
        fun `a branch without its own value has that of the nearest branch above`() {
            assertEquals(1, tree.settings("a").priority)
            assertEquals(2, tree.settings("a/b/c").priority)
            assertEquals(setOf(demo), tree.settings("a/b").allow)
        }

        @Test
        fun `a change of a branch applies to the branches below it`() {
            val changed = tree.with(put("settings", Settings(allow = setOf(county))))
            assertEquals(setOf(county), changed.settings("a/b").allow)
            assertEquals(setOf(demo), tree.settings("a/b").allow)
        }

        @Test
        fun `explain names the branch that each value comes from`() {
            val origins = tree.explain("a/b/adapters/x").settings.associateBy { it.name }
            assertEquals(SettingOrigin("priority", "2", "a/b"), origins["priority"])
            assertEquals(SettingOrigin("allow", "[demo]", "/"), origins["allow"])
            assertEquals("default", origins.getValue("queueMillis").from)
        }
    }

    @Nested
    inner class Resolution {
        private val hash = KeyHasher("secret-1").hash("key-1")
        private val tree = twoAccounts.with(
            put("w/adapters/reports", adapter(7, 6)),
            put("keys/k", Key(demo, hash)),
            put("routes//orders", Route("orders", setOf("GET"))),
            put("routes//orders/old", Route("archive")),
            put("dataCentres/a", DataCentre("south", DataCentreState.DRAINED)),
            put("endpoints/e1", Endpoint(leaving = true)),
        )
        private val snapshot = Snapshot(tree)

        @Test
        fun `a model name resolves to the current version and a named version to itself`() {
            assertEquals(
                AdapterVersion("reports", 7),
                assertIs<ModelResolution.Found>(snapshot.resolve("reports")).version,
            )
            assertEquals(6, assertIs<ModelResolution.Found>(snapshot.resolve("reports@6")).version.version)
            assertEquals(ModelResolution.UnknownVersion, snapshot.resolve("reports@5"))
            assertEquals(ModelResolution.UnknownAdapter, snapshot.resolve("other@1"))
        }

        @Test
        fun `a key resolves to its account until it is removed`() {
            assertEquals(demo, snapshot.account(hash))
            assertNull(snapshot.account(KeyHasher("secret-2").hash("key-1")))
            assertNull(Snapshot(tree.with(Edit.Remove("keys/k"))).account(hash))
        }

        @Test
        fun `a replaced key no longer works`() {
            val other = KeyHasher("secret-1").hash("key-2")
            val changed = Snapshot(tree.with(put("keys/k", Key(county, other))))
            assertNull(changed.account(hash))
            assertEquals(county, changed.account(other))
        }

        @Test
        fun `the longest prefix of whole segments wins`() {
            fun pool(path: String) = (snapshot.route(path) as? RouteResolution.Found)?.pool
            assertEquals(
                listOf("orders", "archive", null),
                listOf("/orders/1", "/orders/old/1", "/ordersX").map(::pool),
            )
            assertEquals("orders", pool("/orders?x=1"))
        }

        @Test
        fun `limits data centres and endpoints are those of the tree`() {
            assertEquals(RateLimit(5, 50), snapshot.limits()[county])
            assertEquals(DataCentreState.DRAINED, snapshot.dataCentre(DataCentreId("a")))
            assertEquals(DataCentreState.SERVING, snapshot.dataCentre(DataCentreId("b")))
            assertEquals(true, snapshot.endpointLeaving(EndpointId("e1")))
        }
    }

    @Nested
    inner class Validation {
        private val hash = KeyHash("0".repeat(64))

        @Test
        fun `an error states the path and the expected and received values`() {
            val expected = "drafting/adapters/x: expected current: one of the versions [1, 2], but was 3"
            val invalid = Adapter(adapter(1).base, 3, listOf(1, 2))
            assertEquals(listOf(expected), twoAccounts.errors(put("drafting/adapters/x", invalid)))
        }

        @Test
        fun `an account in use cannot be removed`() {
            val tree = twoAccounts.with(put("keys/k", Key(demo, hash)), put("settings", Settings(allow = setOf(demo))))
            assertEquals(2, tree.errors(Edit.Remove("accounts/demo")).size)
        }

        @Test
        fun `names are unique over all branches`() {
            val tree = twoAccounts.with(put("a/adapters/x", adapter(1)), put("keys/k", Key(demo, hash)))
            assertEquals(1, tree.errors(put("b/adapters/x", adapter(1))).size)
            assertEquals(1, tree.errors(put("b/accounts/demo", Account(1, 1))).size)
            assertEquals(1, tree.errors(put("keys/l", Key(demo, hash))).size)
        }

        @Test
        fun `an adapter may move to another branch in one change`() {
            val tree = twoAccounts.with(put("a/adapters/x", adapter(1)))
            val moved = tree.with(put("b/adapters/x", adapter(2)), Edit.Remove("a/adapters/x"))
            assertEquals("x@2", assertIs<ModelResolution.Found>(Snapshot(moved).resolve("x")).version.toString())
        }

        @Test
        fun `an invalid value is refused with its path`() {
            val invalid = listOf(
                put("accounts/x", Account(-1, 1)),
                put("accounts/demo/", Account(1, 1)),
                put("accounts/x", adapter(1)),
                put("a//b/accounts/x", Account(1, 1)),
                put("keys/k", Key(AccountId("nobody"), hash)),
                put("keys/k", Key(demo, KeyHash("00"))),
                put("adapters/x@1", adapter(1)),
                put("adapters/x", Adapter(adapter(1).base, 1, emptyList())),
                put("routes/orders", Route("orders")),
                put("routes//v1/x", Route("orders")),
                put("settings", Settings(open = true)),
                put("settings", Settings(deadlineMillis = 0)),
                put("loadBudgets/b", LoadBudget(0)),
                Edit.Remove("accounts/none"),
                Edit.Remove("branch"),
                Edit.Remove(""),
            )
            for (edit in invalid) {
                assertEquals(
                    listOf(edit.path),
                    twoAccounts.errors(edit).map {
                        it.substringBefore(": ")
                    },
                )
            }
        }

        @Test
        fun `a change is refused unless its base is the current revision and it has an author`() {
            val edit = put("accounts/x", Account(1, 1))
            assertIs<ApplyResult.Stale>(twoAccounts.apply(change("c", 0, edit)))
            assertIs<ApplyResult.Invalid>(twoAccounts.apply(change("c", 1, edit, who = "")))
            assertIs<ApplyResult.Invalid>(twoAccounts.apply(change("c", 1)))
        }
    }

    @Nested
    inner class Branches {
        @Test
        fun `removing a branch removes everything below it and no sibling branch`() {
            val tree = twoAccounts.with(
                put("a/adapters/x", adapter(1)),
                put("a/b/settings", Settings(priority = 1)),
                put("a-b/adapters/y", adapter(1)),
                put("a0/adapters/z", adapter(1)),
            ).with(Edit.Remove("a"))
            assertEquals(
                listOf("a-b/adapters/y", "a0/adapters/z"),
                tree.allEntries().keys.filter {
                    "adapters" in it ||
                        "settings" in it
                },
            )
            assertEquals(ModelResolution.UnknownAdapter, Snapshot(tree).resolve("x"))
        }

        @Test
        fun `a tree rebuilt from its declaration has the same entries`() {
            val tree = twoAccounts.with(put("a/b/adapters/x", adapter(1)), put("a/c/settings", Settings()))
            val rebuilt = assertIs<ApplyResult.Applied>(Tree.of(tree.revision, tree.toDeclaration())).tree
            assertEquals(tree.allEntries(), rebuilt.allEntries())
        }
    }
}
