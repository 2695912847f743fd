package io.camphordrum.core.config

import io.camphordrum.core.AdapterVersion
import io.camphordrum.core.BaseModelId

/** Tells which adapter version a model name means. */
public sealed interface ModelResolution {
    /** The adapter version exists; [settings] are those of its branch. */
    public data class Found(
        public val version: AdapterVersion,
        public val base: BaseModelId,
        public val settings: EffectiveSettings,
    ) : ModelResolution

    /** No adapter has this name. */
    public data object UnknownAdapter : ModelResolution

    /** The adapter exists, but not in the version asked for. */
    public data object UnknownVersion : ModelResolution
}
