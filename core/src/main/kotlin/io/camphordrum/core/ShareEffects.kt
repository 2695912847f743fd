package io.camphordrum.core

import io.camphordrum.core.limits.AllotmentEffect
import io.camphordrum.core.limits.ShareEffect

/** Converts an effect of the limits; returns null when the receiver's address is not known. */
internal fun shareEffect(effect: ShareEffect, directory: Directory): CoreEffect? = when (effect) {
    is ShareEffect.Send -> directory.address(effect.to)?.let { CoreEffect.SendShare(it, effect.message) }
    is ShareEffect.Store -> when (val store = effect.effect) {
        AllotmentEffect.ReadAllotments -> CoreEffect.ReadAllotments
        is AllotmentEffect.WriteAllotments -> CoreEffect.WriteAllotments(store.record, store.expectedVersion)
    }
}
