package io.camphordrum.bench

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

/** Holds what the endpoints and the platform recorded by the end of a run. */
class EndpointRecords(fleet: Fleet) {
    private val engines = fleet.engines.map { fleet.read(it, "/control/record") }
    private val services = fleet.services.map { fleet.read(it, "/control/record") }
    private val platform = fleet.read(fleet.platform, "/control/record")

    /** Loads that the engines began. */
    val loads: Long = engines.sumOf { it.number("loads") }

    /** Largest batch of any engine. */
    val maxConcurrency: Long = engines.maxOf { it.number("maxConcurrency") }

    /** Evictions of adapters that a request was using. */
    val violations: Int = engines.sumOf { (it["violations"] as JsonArray).size }

    /** Most loads in flight over all engines. */
    val maxLoadsInFlight: Long = platform.number("maxLoadsInFlight")

    /** Calls of the object API and of the instance list so far, by kind. */
    val platformCalls: Map<String, Long> = (platform["calls"] as JsonObject).mapValues { it.value.jsonPrimitive.long }

    /** How often each order was executed. */
    val executions: Map<String, Int> = services.flatMap { it["executions"] as JsonArray }
        .mapNotNull { it.jsonObject["idempotencyKey"]?.jsonPrimitive?.contentOrNull?.ifEmpty { null } }
        .groupingBy { it }.eachCount()

    /** Returns how many completions the engine with number [engine] began between two times of the wall clock. */
    fun beganBetween(engine: Int, fromEpochMillis: Long, toEpochMillis: Long): Int =
        (engines[engine]["served"] as JsonArray).count {
            it.jsonObject.number("startedEpochMillis") in fromEpochMillis..toEpochMillis
        }

    /** Bodies of all completions that reached an engine. */
    private val bodies = engines.flatMap { it["served"] as JsonArray }
        .map { it.jsonObject["body"]?.jsonPrimitive?.contentOrNull.orEmpty() }

    /** Returns the ids of the requests that reached an endpoint. */
    fun ran(): Set<String> = bodies.mapNotNull { REQUEST_ID.find(it)?.groupValues?.get(1) }.toSet() + executions.keys

    private fun JsonObject.number(name: String): Long = this[name]?.jsonPrimitive?.long ?: 0

    private companion object {
        val REQUEST_ID = Regex("Request ([0-9-]+):")
    }
}
