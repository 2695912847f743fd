package io.camphordrum.core.config

/** Represents the result of resolving a request path to a plain service. */
public sealed interface RouteResolution {
    /** The route with the longest matching prefix. */
    public data class Found(
        public val prefix: String,
        public val pool: String,
        public val idempotentMethods: Set<String>,
        public val settings: EffectiveSettings,
    ) : RouteResolution

    /** No route has a matching prefix. */
    public data object NoRoute : RouteResolution
}
