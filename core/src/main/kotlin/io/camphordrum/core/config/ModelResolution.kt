package io.camphordrum.core.config

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.BaseModelId

/** Represents the result of resolving a model name to an adapter version. */
public sealed interface ModelResolution {
    /** The adapter version exists; [settings] are the effective settings of its branch. */
    public data class Found(
        public val version: AdapterVersion,
        public val base: BaseModelId,
        public val settings: EffectiveSettings,
    ) : ModelResolution

    /** No adapter has this name. */
    public data object UnknownAdapter : ModelResolution

    /** The adapter exists, but not in the requested version. */
    public data object UnknownVersion : ModelResolution
}
