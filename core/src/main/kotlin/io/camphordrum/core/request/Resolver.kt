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

/** The resolution of a request under one configuration revision. */
internal sealed interface RequestResolution {
    class Found(val request: ResolvedRequest) : RequestResolution

    class Refused(val refusal: Refusal) : RequestResolution
}

/**
 * Resolves a request once, against one configuration revision.
 *
 * @param stale whether the configuration is older than the given number of seconds.
 */
internal class Resolver(private val stale: (now: Long, seconds: Long) -> Boolean) {
    fun resolve(now: Long, snapshot: Snapshot, request: CallerRequest): RequestResolution {
        // A request with an unknown key must not reveal which adapters and routes exist.
        val refused = checkKey(snapshot, request)
        if (refused != null) return refused
        return when (val work = request.operation) {
            is Operation.Completion -> resolveCompletion(now, snapshot, request, work)
            is Operation.Call -> resolveCall(now, snapshot, request, work)
        }
    }

    private fun resolveCompletion(
        now: Long,
        snapshot: Snapshot,
        request: CallerRequest,
        work: Operation.Completion,
    ): RequestResolution {
        val found = when (val resolution = snapshot.resolve(work.model)) {
            is ModelResolution.Found -> resolution
            ModelResolution.UnknownAdapter -> return refused(RefusalCode.NOT_FOUND, "no adapter is named ${work.model}")
            ModelResolution.UnknownVersion -> return refused(RefusalCode.NOT_FOUND, "no such version: ${work.model}")
        }
        val settings = found.settings
        val account = when (
            val resolution = findAccount(
                now,
                snapshot,
                request,
                settings,
                "adapter ${found.version.adapter}",
            )
        ) {
            is AccountResolution.Found -> resolution.account
            is AccountResolution.Refused -> return RequestResolution.Refused(resolution.refusal)
        }
        val maxOutputTokens = settings.maxOutputTokens.toLong()
        val maxTokens = work.maxTokens ?: maxOutputTokens
        if (maxTokens > maxOutputTokens) {
            return refused(RefusalCode.BAD_REQUEST, "max_tokens: expected at most $maxOutputTokens, but was $maxTokens")
        }
        val charge = work.promptTokens + maxTokens
        return RequestResolution.Found(
            ResolvedRequest(account, found.version, found.base, null, true, maxTokens, charge, settings),
        )
    }

    private fun resolveCall(
        now: Long,
        snapshot: Snapshot,
        request: CallerRequest,
        work: Operation.Call,
    ): RequestResolution {
        val found = when (val resolution = snapshot.route(work.path)) {
            is RouteResolution.Found -> resolution
            RouteResolution.NoRoute -> return refused(RefusalCode.NOT_FOUND, "no route for ${work.path}")
        }
        val account = when (val result = findAccount(now, snapshot, request, found.settings, "route ${found.prefix}")) {
            is AccountResolution.Found -> result.account
            is AccountResolution.Refused -> return RequestResolution.Refused(result.refusal)
        }
        val idempotent = work.method in found.idempotentMethods
        return RequestResolution.Found(
            ResolvedRequest(account, null, null, found.pool, idempotent, null, CALL_CHARGE, found.settings),
        )
    }

    private fun checkKey(snapshot: Snapshot, request: CallerRequest): RequestResolution.Refused? {
        val hash = request.keyHash ?: return null
        if (snapshot.account(KeyHash(hash)) != null) return null
        return refused(RefusalCode.BAD_KEY, "the key is unknown or withdrawn")
    }

    private fun findAccount(
        now: Long,
        snapshot: Snapshot,
        request: CallerRequest,
        settings: EffectiveSettings,
        resource: String,
    ): AccountResolution {
        val account = request.keyHash?.let { snapshot.account(KeyHash(it)) }
        if (account == null) {
            val openAccount = settings.openAccount?.takeIf { settings.open }
                ?: return AccountResolution.Refused(
                    Refusal(RefusalCode.BAD_KEY, "expected a bearer key for $resource, but came none"),
                )
            return AccountResolution.Found(openAccount)
        }
        if (!settings.admits(account)) {
            return AccountResolution.Refused(
                Refusal(RefusalCode.NOT_ALLOWED, "client account $account may not use $resource"),
            )
        }
        if (stale(now, settings.keyStalenessSeconds)) {
            return AccountResolution.Refused(
                Refusal(
                    RefusalCode.UNAVAILABLE,
                    "the configuration is older than ${settings.keyStalenessSeconds} s, so keys cannot be checked",
                    retryAfterMillis = STALE_RETRY_MILLIS,
                ),
            )
        }
        return AccountResolution.Found(account)
    }

    private fun refused(code: RefusalCode, message: String) = RequestResolution.Refused(Refusal(code, message))

    private sealed interface AccountResolution {
        class Found(val account: AccountId) : AccountResolution

        class Refused(val refusal: Refusal) : AccountResolution
    }

    private companion object {
        // A call of a plain service uses no model tokens; the charge of one token limits the calls of an account.
        const val CALL_CHARGE = 1L
        const val STALE_RETRY_MILLIS = 5_000L
    }
}
