package io.camphordrum.core.fleet

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.DispatchOrder
import io.camphordrum.core.EndpointId
import io.camphordrum.core.ListedEndpoint
import io.camphordrum.core.residency.LoadReport
import io.camphordrum.core.residency.OrderKind
import io.camphordrum.core.residency.OwnerEffect

/** Simulates an engine with a few adapter slots, or a plain service when [slots] is 0. */
class FakeEndpoint(val listed: ListedEndpoint, private val slots: Int) {
    /** Records one execution; [startNanos] is the time at which the request reached the endpoint. */
    class Run(val order: DispatchOrder, val startNanos: Long)

    val id: EndpointId get() = listed.id
    val runs = ArrayList<Run>()
    val violations = ArrayList<String>()
    private val running = HashMap<String, AdapterVersion?>()
    private val resident = LinkedHashSet<AdapterVersion>()
    private var highestFencingToken = 0L
    private var incarnation = 1L
    var loads = 0
    var loadFailures = 0
    var down = false

    /** Starts a request; returns false when the adapter is not resident. */
    fun startRun(now: Long, order: DispatchOrder): Boolean {
        if (order.version != null && order.version !in resident) return false
        running[order.dispatch] = order.version
        runs += Run(order, now)
        return true
    }

    fun endRun(dispatch: String): Boolean = running.containsKey(dispatch).also { running.remove(dispatch) }

    /** Executes an order and returns its HTTP status. */
    fun execute(order: OwnerEffect.Order): Int {
        if (listed.fencing && order.fencing < highestFencingToken) return 409
        highestFencingToken = maxOf(highestFencingToken, order.fencing)
        if (order.kind == OrderKind.EVICT) {
            if (order.version in running.values) violations += "${order.version} evicted while it was running on $id"
            resident -= order.version
            return 200
        }
        if (loadFailures > 0) {
            loadFailures--
            return 500
        }
        if (resident.size >= slots) return 507
        loads++
        resident += order.version
        return 200
    }

    fun restart() {
        incarnation++
        resident.clear()
        running.clear()
    }

    fun report(sampledNanos: Long) =
        LoadReport(incarnation, sampledNanos, resident.toSet(), running.size, 0, slots, busyAdapters())

    private fun busyAdapters() = running.values.filterNotNull().toSet()
}
