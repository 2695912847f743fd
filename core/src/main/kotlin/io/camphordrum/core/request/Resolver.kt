package io.camphordrum.core.request

import io.camphordrum.core.AccountId
import io.camphordrum.core.CallerRequest
import io.camphordrum.core.Operation
import io.camphordrum.core.Refusal
import io.camphordrum.core.RefusalCode
import io.camphordrum.core.config.EffectiveSettings
import io.camphordrum.core.config.KeyHash
import io.camphordrum.core.config.ModelResolution
import io.camphordrum.core.config.RouteResolution
import io.camphordrum.core.config.Snapshot

/** Tells what a request resolves to under one configuration revision. */
internal sealed interface Resolved {
    class Ok(val target: Target) : Resolved

    class Bad(val refusal: Refusal) : Resolved
}

/**
 * Resolves a request once, against one configuration revision.
 *
 * @param stale whether the configuration is older than the given number of seconds.
 */
internal class Resolver(private val stale: (now: Long, seconds: Long) -> Boolean) {
    fun resolve(now: Long, snapshot: Snapshot, request: CallerRequest): Resolved {
        // An unknown key learns nothing about which adapters and routes exist.
        val bad = keyFault(snapshot, request)
        if (bad != null) return bad
        return when (val work = request.operation) {
            is Operation.Completion -> completion(now, snapshot, request, work)
            is Operation.Call -> call(now, snapshot, request, work)
        }
    }

    private fun completion(
        now: Long,
        snapshot: Snapshot,
        request: CallerRequest,
        work: Operation.Completion,
    ): Resolved {
        val found = when (val resolution = snapshot.resolve(work.model)) {
            is ModelResolution.Found -> resolution
            ModelResolution.UnknownAdapter -> return refused(RefusalCode.NOT_FOUND, "no adapter is named ${work.model}")
            ModelResolution.UnknownVersion -> return refused(RefusalCode.NOT_FOUND, "no such version: ${work.model}")
        }
        val settings = found.settings
        val account = when (
            val charged = charged(
                now,
                snapshot,
                request,
                settings,
                "adapter ${found.version.adapter}",
            )
        ) {
            is Charged.To -> charged.account
            is Charged.Bad -> return Resolved.Bad(charged.refusal)
        }
        val most = settings.maxOutputTokens.toLong()
        val maxTokens = work.maxTokens ?: most
        if (maxTokens > most) {
            return refused(RefusalCode.BAD_REQUEST, "max_tokens: expected at most $most, but was $maxTokens")
        }
        val charge = work.promptTokens + maxTokens
        return Resolved.Ok(Target(account, found.version, found.base, null, true, maxTokens, charge, settings))
    }

    private fun call(now: Long, snapshot: Snapshot, request: CallerRequest, work: Operation.Call): Resolved {
        val found = when (val resolution = snapshot.route(work.path)) {
            is RouteResolution.Found -> resolution
            RouteResolution.NoRoute -> return refused(RefusalCode.NOT_FOUND, "no route for ${work.path}")
        }
        val account = when (val charged = charged(now, snapshot, request, found.settings, "route ${found.prefix}")) {
            is Charged.To -> charged.account
            is Charged.Bad -> return Resolved.Bad(charged.refusal)
        }
        val idempotent = work.method in found.idempotentMethods
        return Resolved.Ok(Target(account, null, null, found.pool, idempotent, null, CALL_CHARGE, found.settings))
    }

    private fun keyFault(snapshot: Snapshot, request: CallerRequest): Resolved.Bad? {
        val hash = request.keyHash ?: return null
        if (snapshot.account(KeyHash(hash)) != null) return null
        return refused(RefusalCode.BAD_KEY, "the key is unknown or withdrawn")
    }

    private fun charged(
        now: Long,
        snapshot: Snapshot,
        request: CallerRequest,
        settings: EffectiveSettings,
        what: String,
    ): Charged {
        val account = request.keyHash?.let { snapshot.account(KeyHash(it)) }
        if (account == null) {
            val open = settings.openAccount?.takeIf { settings.open }
                ?: return Charged.Bad(Refusal(RefusalCode.BAD_KEY, "expected a bearer key for $what, but came none"))
            return Charged.To(open)
        }
        if (!settings.admits(account)) {
            return Charged.Bad(Refusal(RefusalCode.NOT_ALLOWED, "client account $account may not use $what"))
        }
        if (stale(now, settings.keyStalenessSeconds)) {
            return Charged.Bad(
                Refusal(
                    RefusalCode.UNAVAILABLE,
                    "the configuration is older than ${settings.keyStalenessSeconds} s, so keys cannot be checked",
                    retryAfterMillis = STALE_RETRY_MILLIS,
                ),
            )
        }
        return Charged.To(account)
    }

    private fun refused(code: RefusalCode, message: String) = Resolved.Bad(Refusal(code, message))

    private sealed interface Charged {
        class To(val account: AccountId) : Charged

        class Bad(val refusal: Refusal) : Charged
    }

    private companion object {
        // A call of a plain service uses no model tokens; one token keeps an account's calls bounded by its limit.
        const val CALL_CHARGE = 1L
        const val STALE_RETRY_MILLIS = 5_000L
    }
}
