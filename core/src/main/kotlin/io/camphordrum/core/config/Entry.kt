package io.camphordrum.core.config

import io.camphordrum.core.AccountId
import io.camphordrum.core.BaseModelId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Holds the value at one path of the tree. */
@Serializable
public sealed interface Entry

/**
 * Holds what a branch says about its settings; null means inherited from the parent.
 *
 * @property open true lets every caller in, without a key.
 * @property allow accounts that may use what the branch holds; replaces the parent's list.
 * @property openAccount the account charged for callers without a key.
 * @property priority sent to engines; a higher number goes first.
 * @property limitWaitMillis how long a request inside its account's rate may wait for its share.
 * @property queueMillis how long a request may wait for an endpoint.
 * @property keyStalenessSeconds age of the last confirmed revision after which keyed requests are refused.
 * @property maxReplicas most endpoints on which one adapter is resident at once.
 * @property spillWaitMillis estimated wait above which the next candidate endpoint is asked.
 * @property minResidentMillis how long a loaded adapter stays resident at least.
 */
@Serializable
@SerialName("settings")
public data class Settings(
    public val open: Boolean? = null,
    public val allow: Set<AccountId>? = null,
    public val openAccount: AccountId? = null,
    public val priority: Int? = null,
    public val maxOutputTokens: Int? = null,
    public val deadlineMillis: Long? = null,
    public val limitWaitMillis: Long? = null,
    public val queueMillis: Long? = null,
    public val keyStalenessSeconds: Long? = null,
    public val maxReplicas: Int? = null,
    public val spillWaitMillis: Long? = null,
    public val minResidentMillis: Long? = null,
) : Entry

/** Declares a client account and the limits that hold over all instances together. */
@Serializable
@SerialName("account")
public data class Account(public val tokensPerSecond: Long, public val burstTokens: Long) : Entry

/** Gives the holder of a key the rights of [account]; only the keyed hash is stored. */
@Serializable
@SerialName("key")
public data class Key(public val account: AccountId, public val hash: KeyHash) : Entry

/**
 * Declares an adapter.
 *
 * @property current the version that a request without a version gets.
 * @property versions versions that may be asked for, in ascending order.
 */
@Serializable
@SerialName("adapter")
public data class Adapter(public val base: BaseModelId, public val current: Int, public val versions: List<Int>) :
    Entry

/**
 * Sends a path prefix to the pool of a plain service.
 *
 * @property idempotentMethods methods that may be repeated.
 */
@Serializable
@SerialName("route")
public data class Route(
    public val pool: String,
    public val idempotentMethods: Set<String> = setOf("GET", "HEAD", "OPTIONS", "PUT", "DELETE"),
) : Entry

/** Tells whether a data centre takes new work. */
@Serializable
public enum class DataCentreState {
    @SerialName("serving")
    SERVING,

    @SerialName("drained")
    DRAINED,
}

/** Declares a data centre. */
@Serializable
@SerialName("dataCentre")
public data class DataCentre(public val region: String, public val state: DataCentreState = DataCentreState.SERVING) :
    Entry

/** Marks an endpoint that gets no new work while [leaving] is true. */
@Serializable
@SerialName("endpoint")
public data class Endpoint(public val leaving: Boolean = false) : Entry

/**
 * Bounds the loads from the weight store of one base model over the whole fleet.
 *
 * @property loadsPerSecond sustained rate of loads.
 * @property inFlight most loads at once; above 8 the stores are known to slow down.
 */
@Serializable
@SerialName("loadBudget")
public data class LoadBudget(public val loadsPerSecond: Long, public val inFlight: Int = 8) : Entry
