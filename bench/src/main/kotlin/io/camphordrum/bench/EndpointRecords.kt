package io.camphordrum.bench

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

/** Holds the records that the endpoint and platform stand-ins have kept so far. */
class EndpointRecords(fleet: Fleet) {
    private val engines = fleet.engines.map { fleet.readJson(it, "/control/record") }
    private val services = fleet.services.map { fleet.readJson(it, "/control/record") }
    private val platform = fleet.readJson(fleet.platform, "/control/record")

    /** Loads that the engines started. */
    val loads: Long = engines.sumOf { it.longField("loads") }

    /** Largest number of concurrent requests on any engine. */
    val maxConcurrency: Long = engines.maxOf { it.longField("maxConcurrency") }

    /** Evictions of adapters that a running request used. */
    val evictionsUnderRunningRequests: Int = engines.sumOf { (it["violations"] as JsonArray).size }

    /** Largest number of loads in flight over all engines. */
    val maxLoadsInFlight: Long = platform.longField("maxLoadsInFlight")

    /** Calls to the object API and the instance list so far, by kind. */
    val platformCalls: Map<String, Long> = (platform["calls"] as JsonObject).mapValues { it.value.jsonPrimitive.long }

    /** Number of executions of each order by idempotency key. */
    val executions: Map<String, Int> = services.flatMap { it["executions"] as JsonArray }
        .mapNotNull { it.jsonObject["idempotencyKey"]?.jsonPrimitive?.contentOrNull?.ifEmpty { null } }
        .groupingBy { it }.eachCount()

    /** Returns how many completions the engine with number [engine] started between two wall-clock times. */
    fun startedBetween(engine: Int, fromEpochMillis: Long, toEpochMillis: Long): Int =
        (engines[engine]["served"] as JsonArray).count {
            it.jsonObject.longField("startedEpochMillis") in fromEpochMillis..toEpochMillis
        }

    /** Request bodies of all completions that reached an engine. */
    private val requestBodies = engines.flatMap { it["served"] as JsonArray }
        .map { it.jsonObject["body"]?.jsonPrimitive?.contentOrNull.orEmpty() }

    /** Returns the ids of the requests that reached an endpoint. */
    fun executedIds(): Set<String> =
        requestBodies.mapNotNull { REQUEST_ID.find(it)?.groupValues?.get(1) }.toSet() + executions.keys

    private fun JsonObject.longField(name: String): Long = this[name]?.jsonPrimitive?.long ?: 0

    private companion object {
        val REQUEST_ID = Regex("Request ([0-9-]+):")
    }
}
