package io.camphordrum.core.config

/** Tells which plain service a request path belongs to. */
public sealed interface RouteResolution {
    /** The longest matching prefix. */
    public data class Found(
        public val prefix: String,
        public val pool: String,
        public val idempotentMethods: Set<String>,
        public val settings: EffectiveSettings,
    ) : RouteResolution

    /** No prefix matches. */
    public data object NoRoute : RouteResolution
}
