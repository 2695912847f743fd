package io.camphordrum.standins

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Records one request to an engine and its progress. */
internal class ServedRequest(
    val path: String,
    val dispatch: String,
    val adapter: String,
    val headers: JsonObject,
    val body: String,
) {
    private val startedEpochMillis = System.currentTimeMillis()

    @Volatile var tokens = 0

    @Volatile var outcome = "running"

    fun toJson() = buildJsonObject {
        put("path", path)
        put("startedEpochMillis", startedEpochMillis)
        put("dispatchId", dispatch)
        put("adapter", adapter)
        put("outcome", outcome)
        put("tokens", tokens)
        put("headers", headers)
        put("body", body)
    }
}

/**
 * Records the requests, orders and violations of one engine.
 *
 * Counts are exact. At most [MAX_ENTRIES] requests and as many orders are stored; further ones are only counted.
 */
internal class EngineRecord {
    private val served = ArrayList<ServedRequest>()
    private val orders = ArrayList<JsonObject>()
    private val violations = ArrayList<String>()
    private val dispatches = HashMap<String, Int>()
    private var requests = 0

    @Synchronized
    fun addRequest(servedRequest: ServedRequest) {
        requests++
        dispatches.merge(servedRequest.dispatch, 1, Int::plus)
        if (served.size < MAX_ENTRIES) served += servedRequest
    }

    @Synchronized
    fun addOrder(kind: String, adapter: String, fencing: Long?, outcome: String, headers: JsonObject) {
        if (orders.size >= MAX_ENTRIES) return
        orders += buildJsonObject {
            put("kind", kind)
            put("adapter", adapter)
            put("fencing", fencing)
            put("outcome", outcome)
            put("headers", headers)
        }
    }

    @Synchronized
    fun addViolation(text: String) {
        violations += text
    }

    @Synchronized
    fun toJson(counters: Map<String, Number>, details: Boolean): JsonObject = buildJsonObject {
        put("requests", requests)
        put("repeatedDispatches", dispatches.count { it.value > 1 })
        for ((name, value) in counters) put(name, JsonPrimitive(value))
        put("violations", buildJsonArray { for (text in violations) add(JsonPrimitive(text)) })
        put("outcomes", buildJsonObject { for ((key, n) in served.groupingBy { it.outcome }.eachCount()) put(key, n) })
        if (!details) return@buildJsonObject
        put("orders", JsonArray(orders))
        put("served", JsonArray(served.map { it.toJson() }))
    }

    private companion object {
        const val MAX_ENTRIES = 50_000
    }
}
