package io.camphordrum.core.config

import io.camphordrum.core.AccountId
import io.camphordrum.core.BaseModelId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Holds the value at one path of the tree. */
@Serializable
public sealed interface Entry

/**
 * Holds the settings that a branch declares; null means inherited from the parent branch.
 *
 * @property open true if callers need no key.
 * @property allow accounts with access to the branch; replaces the parent's list.
 * @property openAccount account charged for callers without a key.
 * @property priority priority sent to engines; higher numbers are scheduled first.
 * @property maxOutputTokens maximum number of output tokens of a completion; also used if its caller names none.
 * @property deadlineMillis time for a request whose caller names none.
 * @property limitWaitMillis maximum wait for tokens of a request that is within the rate of its account.
 * @property queueMillis maximum wait of a request for an endpoint.
 * @property keyStalenessSeconds age of the last confirmed revision after which keyed requests are refused.
 * @property maxReplicas maximum number of endpoints on which one adapter is resident at once; not enforced yet.
 * @property spillWaitMillis estimated wait above which the next candidate endpoint is tried.
 * @property minResidentMillis minimum time for which a loaded adapter stays resident; not enforced yet.
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

/** Declares a client account and its rate limit, which applies to all instances together. */
@Serializable
@SerialName("account")
public data class Account(public val tokensPerSecond: Long, public val burstTokens: Long) : Entry

/** Authenticates the callers that present a key as [account]; only the keyed hash of the key is stored. */
@Serializable
@SerialName("key")
public data class Key(public val account: AccountId, public val hash: KeyHash) : Entry

/**
 * Declares an adapter.
 *
 * @property current version that serves requests without a version.
 * @property versions versions that may be requested, in ascending order.
 */
@Serializable
@SerialName("adapter")
public data class Adapter(public val base: BaseModelId, public val current: Int, public val versions: List<Int>) :
    Entry

/**
 * Routes a path prefix to the pool of a plain service.
 *
 * @property idempotentMethods HTTP methods whose requests may be retried.
 */
@Serializable
@SerialName("route")
public data class Route(
    public val pool: String,
    public val idempotentMethods: Set<String> = setOf("GET", "HEAD", "OPTIONS", "PUT", "DELETE"),
) : Entry

/** States whether a data centre accepts new work. */
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

/** Declares an endpoint that receives no new work while [leaving] is true. */
@Serializable
@SerialName("endpoint")
public data class Endpoint(public val leaving: Boolean = false) : Entry

/**
 * Limits the loads from the weight store of one base model over the whole fleet.
 *
 * @property loadsPerSecond sustained load rate.
 * @property inFlight maximum number of concurrent loads; the weight stores slow down above 8.
 */
@Serializable
@SerialName("loadBudget")
public data class LoadBudget(public val loadsPerSecond: Long, public val inFlight: Int = 8) : Entry
