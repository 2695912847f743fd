package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.DataCentreId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Divides every client account's limit between data centres; the value of the platform object `allotments`.
 *
 * An account that a data centre does not list has its default allotment: an even split over [founders].
 *
 * @property founders data centres that share every account evenly by default; fixed when the object is created.
 * @property dataCentres the entry of each data centre that has one.
 */
@Serializable
public data class AllotmentRecord(
    public val founders: List<DataCentreId>,
    public val dataCentres: Map<DataCentreId, DataCentreAllotment> = emptyMap(),
) {
    /** Returns the parts of [account] that [dataCentre] may hold, of [PARTS] in total. */
    public fun parts(dataCentre: DataCentreId, account: AccountId): Int =
        dataCentres[dataCentre]?.parts?.get(account) ?: defaultParts(dataCentre)

    /** Returns the parts that [dataCentre] holds of an account that has no explicit allotment. */
    public fun defaultParts(dataCentre: DataCentreId): Int {
        val index = founders.indexOf(dataCentre)
        if (index < 0) return 0
        return PARTS / founders.size + if (index < PARTS % founders.size) 1 else 0
    }

    /** Defines how finely a limit is divided. */
    public companion object {
        /** The number of parts into which an account's token bucket is divided. */
        public const val PARTS: Int = 1_000_000
    }
}

/**
 * Stores one data centre's entry of the object `allotments`.
 *
 * @property generation last generation whose coordinator claimed the entry; 0 if none did. Writes of coordinators of
 *   older generations fail because the claim changed the object's version.
 * @property writes number of the last write of that generation's coordinator; identifies a write whose response was
 *   lost.
 * @property parts explicit allotments by account.
 * @property demandParts parts that the data centre's demand uses, in steps; an absent account has none.
 */
@Serializable
public data class DataCentreAllotment(
    public val generation: Long = 0,
    public val writes: Long = 0,
    public val parts: Map<AccountId, Int> = emptyMap(),
    @SerialName("wanted") public val demandParts: Map<AccountId, Int> = emptyMap(),
)
