package io.camphordrum.core.fleet

import io.camphordrum.core.CoreEffect
import io.camphordrum.core.Ran
import io.camphordrum.core.RateLimit
import io.camphordrum.core.RefusalCode
import io.camphordrum.core.Work

/** Checks what must always hold, from what callers and endpoints saw only. */
class Invariants(private val fleet: Fleet) {
    /** Returns every violation found; empty when all invariants hold. */
    fun violations(limits: Map<String, RateLimit>, accountOf: (String?) -> String?): List<String> =
        evictions() + answers() + refusals() + versions() + repeats() + limits(limits, accountOf)

    private fun evictions() = fleet.endpoints.values.flatMap { it.violations }

    // One final answer at most, and it names a dispatch of this request.
    private fun answers() = fleet.callers.values.flatMap { caller ->
        val id = caller.request.id
        val out = ArrayList<String>()
        if (caller.answers.size > 1) out += "request $id got ${caller.answers.size} answers"
        val answer = caller.answers.filterIsInstance<CoreEffect.Answer>().firstOrNull()
        val body = answer?.answer?.body()?.decodeToString()
        val repeat = caller.request.idempotencyKey != null
        if (body != null && !repeat && caller.dispatches.none { body.startsWith(it.dispatch) }) {
            out += "request $id got the answer of another: $body"
        }
        out
    }

    // A refusal that says "not run" is true.
    private fun refusals(): List<String> {
        val ran = runsByDispatch()
        return fleet.callers.values.mapNotNull { caller ->
            val refusal = caller.answers.filterIsInstance<CoreEffect.Refuse>().firstOrNull()?.refusal
            val executed = caller.dispatches.any { it.dispatch in ran }
            if (refusal?.ran == Ran.NO && refusal.code != RefusalCode.KEY_REUSED && executed) {
                "request ${caller.request.id} was refused as not run (${refusal.code}), but it ran"
            } else {
                null
            }
        }
    }

    private fun versions() = fleet.endpoints.values.flatMap { endpoint ->
        endpoint.runs.mapNotNull { run ->
            val work = fleet.callers.getValue(run.order.request).request.work
            val asked = (work as? Work.Completion)?.model ?: return@mapNotNull null
            val exact = asked.contains('@')
            val wrong = if (exact) run.order.version.toString() != asked else run.order.version?.adapter != asked
            if (wrong) "request ${run.order.request} asked for $asked and ran on ${run.order.version}" else null
        }
    }

    // A non-idempotent request runs at most once for each idempotency key, and at most once without one.
    private fun repeats(): List<String> = fleet.endpoints.values.flatMap { it.runs }
        .filter { it.order.version == null }
        .groupBy { run ->
            val request = fleet.callers.getValue(run.order.request).request
            request.idempotencyKey ?: "request ${request.id}"
        }
        .filterValues { it.size > 1 }
        .map { (key, runs) -> "$key ran ${runs.size} times" }

    // A request that arrived at a and was dispatched at b was admitted between them. For every window, the tokens
    // of the requests that lie wholly inside it cannot exceed burst plus rate times its length.
    private fun limits(limits: Map<String, RateLimit>, accountOf: (String?) -> String?): List<String> {
        val ran = runsByDispatch()
        val byAccount = fleet.callers.values
            .filter { caller -> caller.dispatches.any { it.dispatch in ran } && caller.request.work is Work.Completion }
            .groupBy { accountOf(it.request.keyHash) }
        return limits.flatMap { (account, limit) -> windows(account, limit, byAccount[account].orEmpty()) }
    }

    private fun windows(account: String, limit: RateLimit, callers: List<Fleet.Caller>): List<String> {
        val out = ArrayList<String>()
        for (first in callers) {
            var tokens = 0L
            for (caller in callers.filter { it.arrived >= first.arrived }.sortedBy { it.dispatchedAt }) {
                tokens += (caller.request.work as Work.Completion).maxTokens ?: 0
                val window = caller.dispatchedAt - first.arrived
                val most = limit.burstTokens + limit.tokensPerSecond.toDouble() * window / Fleet.SECOND
                if (tokens > most + 1) {
                    out += "account $account used $tokens tokens in ${window / Fleet.MILLI} ms, more than $most"
                    return out
                }
            }
        }
        return out
    }

    private fun runsByDispatch() = fleet.endpoints.values.flatMap { it.runs }.mapTo(HashSet()) { it.order.dispatch }
}
