package io.camphordrum.core.duty

import io.camphordrum.core.serving.RightStore
import io.camphordrum.core.serving.RightWriteResult

/** Connects the duties with the store and the platform; callbacks run on the decision thread. */
public class DutyPorts(
    public val rights: RightStore,
    public val reports: ReportStore,
    public val platform: DutyPlatform,
)

/** Describes how the platform took a call for a duty. */
public enum class DutyCallEnd {
    ACCEPTED,

    /** Refused for now, because there are too many calls or the platform is unavailable. */
    REFUSED,

    /** Refused for good. */
    INVALID,

    /** No answer; the call may have taken effect. */
    UNKNOWN,
}

/**
 * Sends the calls that are the duty of one daemon.
 *
 * `permitted` is evaluated right before the first byte is written; a call that is not permitted ends as
 * [DutyCallEnd.REFUSED]. Each call ends within a time that is well below the wait of the next holder.
 */
public interface DutyPlatform {
    /** Reports the use of one window; the same [report] is always sent as the same bytes. */
    public fun reportUsage(report: WindowReport, token: Long, permitted: () -> Boolean, onEnd: (DutyCallEnd) -> Unit)

    /** Orders the number of endpoints of a service in a data centre. */
    public fun orderEndpoints(
        order: EndpointCountOrder,
        token: Long,
        permitted: () -> Boolean,
        onEnd: (DutyCallEnd) -> Unit,
    )
}

/** Orders [count] endpoints of [service] in [dataCentre]. */
public data class EndpointCountOrder(public val service: String, public val dataCentre: String, public val count: Int)

/**
 * Holds what is reported for one window; it never changes once it is stored.
 *
 * @property began requests that began to run, by account in the order of names.
 * @property accepted whether the platform has accepted the report, as far as it was known at the last write.
 */
public data class WindowReport(
    public val window: Long,
    public val began: Map<String, Long>,
    public val accepted: Boolean = false,
)

/**
 * Holds the stored decisions of all holders.
 *
 * @property windows the newest decided reports.
 * @property ordered the last order for each service and data centre at the time of the write.
 */
public data class DutyRecord(
    public val windows: List<WindowReport> = emptyList(),
    public val ordered: List<EndpointCountOrder> = emptyList(),
)

/** Pairs a record with the revision at which it is stored; the revision is null if there is none yet. */
public data class StoredDutyRecord(public val record: DutyRecord, public val revision: Long?)

/** Reads and conditionally writes the decisions. */
public interface ReportStore {
    /** Reads the record without stale reads; null if the store did not answer or the record is unreadable. */
    public fun read(onEnd: (StoredDutyRecord?) -> Unit)

    /** Stores [record] if its revision is still [revision]; a null revision creates it. */
    public fun write(record: DutyRecord, revision: Long?, onEnd: (RightWriteResult) -> Unit)
}
