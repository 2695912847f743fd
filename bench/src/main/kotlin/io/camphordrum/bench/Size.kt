package io.camphordrum.bench

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Describes a client account of the load: its [share] of all requests, from 0 to 1, and its rate limit. */
@Serializable
data class AccountSize(val name: String, val share: Double, val tokensPerSecond: Long, val burstTokens: Long)

/**
 * Describes a fleet and its load as read from `sizes/NAME.json`.
 *
 * @property outputTokens the smallest and the largest number of output tokens that a completion requests.
 * @property zipfExponent Zipf exponent: how fast the popularity of adapters falls with their rank.
 */
@Serializable
data class Size(
    val dataCentres: List<String>,
    val daemons: Int,
    val engines: Int,
    val enginePool: String,
    val services: Int,
    val servicePool: String,
    val route: String,
    val base: String,
    val adapters: Int,
    val slots: Int,
    val loadsPerSecond: Long,
    val loadsInFlight: Int,
    val requestsPerSecond: Double,
    val ordersPerSecond: Double,
    val zipfExponent: Double,
    val outputTokens: List<Int>,
    val accounts: List<AccountSize>,
) {
    /** Returns the data centre of the daemon or replica with number [index]. */
    fun dataCentre(index: Int): String = dataCentres[index % dataCentres.size]

    /** Returns the numbers of the engines in the last data centre, which [Scenario.DATACENTRE] drains. */
    fun drainedEngines(): List<Int> = (0 until engines).filter { dataCentre(it) == dataCentres.last() }

    companion object {
        @OptIn(ExperimentalSerializationApi::class)
        private val json = Json {
            allowComments = true
            allowTrailingComma = true
        }

        /** Reads the size with [name], or returns null if no such size exists. */
        fun read(name: String): Size? =
            Size::class.java.getResourceAsStream("/sizes/$name.json")?.use {
                json.decodeFromString(serializer(), it.readBytes().decodeToString())
            }
    }
}
