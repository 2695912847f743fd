package io.camphordrum.core.limits

import io.camphordrum.core.AccountId
import io.camphordrum.core.DataCentreId
import kotlinx.serialization.Serializable

/**
 * Divides every client account's limit between data centres; the value of the platform object `allotments`.
 *
 * Accounts that a data centre does not list have their default: an even split over [founders].
 *
 * @property founders the data centres that share every account evenly by default; never changes after creation.
 * @property dataCentres what each data centre's coordinators wrote.
 */
@Serializable
public data class AllotmentRecord(
    public val founders: List<DataCentreId>,
    public val dataCentres: Map<DataCentreId, DataCentreAllotment> = emptyMap(),
) {
    /** Returns the parts of [account] that [dataCentre] may hold, of [PARTS] in total. */
    public fun parts(dataCentre: DataCentreId, account: AccountId): Int =
        dataCentres[dataCentre]?.parts?.get(account) ?: defaultParts(dataCentre)

    /** Returns the parts of any account that [dataCentre] holds until parts are moved. */
    public fun defaultParts(dataCentre: DataCentreId): Int {
        val index = founders.indexOf(dataCentre)
        if (index < 0) return 0
        return PARTS / founders.size + if (index < PARTS % founders.size) 1 else 0
    }

    /** Holds the number of parts. */
    public companion object {
        /** The parts that one account's token bucket is divided into. */
        public const val PARTS: Int = 1_000_000
    }
}

/**
 * Holds one data centre's entry of the object `allotments`.
 *
 * @property generation the last generation whose coordinator claimed the entry; 0 means never. Writes of older
 *   generations' coordinators fail because the claim changed the object's version.
 * @property writes number of the last write of that generation's coordinator; identifies a write whose answer was lost.
 * @property parts explicit allotments.
 * @property wanted parts that the data centre's demand would use, in steps; absent means none.
 */
@Serializable
public data class DataCentreAllotment(
    public val generation: Long = 0,
    public val writes: Long = 0,
    public val parts: Map<AccountId, Int> = emptyMap(),
    public val wanted: Map<AccountId, Int> = emptyMap(),
)
