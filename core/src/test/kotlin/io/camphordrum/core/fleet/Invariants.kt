package io.camphordrum.core.fleet

import io.camphordrum.core.CoreEffect
import io.camphordrum.core.Operation
import io.camphordrum.core.Ran
import io.camphordrum.core.RateLimit
import io.camphordrum.core.RefusalCode

/** Checks the invariants of a fleet from the observations of callers and endpoints only. */
class Invariants(private val fleet: Fleet) {
    /** Returns all violations found; empty when all invariants hold. */
    fun violations(limits: Map<String, RateLimit>, accountOf: (String?) -> String?): List<String> =
        evictionViolations() +
            answerViolations() +
            refusalViolations() +
            versionViolations() +
            repeatedRuns() +
            limitViolations(limits, accountOf)

    private fun evictionViolations() = fleet.endpoints.values.flatMap { it.violations }

    // A request receives at most one final answer, which must belong to a dispatch of this request.
    private fun answerViolations() = fleet.callers.values.flatMap { caller ->
        val id = caller.request.id
        val violations = ArrayList<String>()
        if (caller.answers.size > 1) violations += "request $id received ${caller.answers.size} answers"
        val answer = caller.answers.filterIsInstance<CoreEffect.Answer>().firstOrNull()
        val body = answer?.answer?.body()?.decodeToString()
        val hasIdempotencyKey = caller.request.idempotencyKey != null
        if (body != null && !hasIdempotencyKey && caller.dispatches.none { body.startsWith(it.dispatch) }) {
            violations += "request $id received the answer of another request: $body"
        }
        violations
    }

    // A request that was refused as not run must not have run.
    private fun refusalViolations(): List<String> {
        val executedDispatches = runsByDispatch()
        return fleet.callers.values.mapNotNull { caller ->
            val refusal = caller.answers.filterIsInstance<CoreEffect.Refuse>().firstOrNull()?.refusal
            val executed = caller.dispatches.any { it.dispatch in executedDispatches }
            if (refusal?.ran == Ran.NO && refusal.code != RefusalCode.KEY_REUSED && executed) {
                "request ${caller.request.id} was refused as not run (${refusal.code}), but it ran"
            } else {
                null
            }
        }
    }

    private fun versionViolations() = fleet.endpoints.values.flatMap { endpoint ->
        endpoint.runs.mapNotNull { run ->
            val operation = fleet.callers.getValue(run.order.request).request.operation
            val requested = (operation as? Operation.Completion)?.model ?: return@mapNotNull null
            val exact = requested.contains('@')
            val wrong =
                if (exact) run.order.version.toString() != requested else run.order.version?.adapter != requested
            if (wrong) "request ${run.order.request} requested $requested and ran on ${run.order.version}" else null
        }
    }

    // A non-idempotent request runs at most once for each idempotency key, and at most once without one.
    private fun repeatedRuns(): List<String> = fleet.endpoints.values.flatMap { it.runs }
        .filter { it.order.version == null }
        .groupBy { run ->
            val request = fleet.callers.getValue(run.order.request).request
            request.idempotencyKey ?: "request ${request.id}"
        }
        .filterValues { it.size > 1 }
        .map { (key, runs) -> "$key ran ${runs.size} times" }

    // A request was admitted between its arrival and its dispatch. For every time window, the tokens of the requests
    // that arrived and were dispatched within it must not exceed burst plus rate times the length of the window.
    private fun limitViolations(limits: Map<String, RateLimit>, accountOf: (String?) -> String?): List<String> {
        val executedDispatches = runsByDispatch()
        val byAccount = fleet.callers.values
            .filter { caller ->
                caller.dispatches.any { it.dispatch in executedDispatches } &&
                    caller.request.operation is Operation.Completion
            }
            .groupBy { accountOf(it.request.keyHash) }
        return limits.flatMap { (account, limit) -> windowViolations(account, limit, byAccount[account].orEmpty()) }
    }

    private fun windowViolations(account: String, limit: RateLimit, callers: List<Fleet.Caller>): List<String> {
        val violations = ArrayList<String>()
        for (first in callers) {
            var tokens = 0L
            for (caller in callers.filter { it.arrivedAt >= first.arrivedAt }.sortedBy { it.dispatchedAt }) {
                tokens += (caller.request.operation as Operation.Completion).maxTokens ?: 0
                val window = caller.dispatchedAt - first.arrivedAt
                val allowed = limit.burstTokens + limit.tokensPerSecond.toDouble() * window / Fleet.SECOND
                if (tokens > allowed + 1) {
                    violations +=
                        "account $account used $tokens tokens in ${window / Fleet.MILLI} ms, more than $allowed"
                    return violations
                }
            }
        }
        return violations
    }

    private fun runsByDispatch() = fleet.endpoints.values.flatMap { it.runs }.mapTo(HashSet()) { it.order.dispatch }
}
