package io.camphordrum.daemon

import io.camphordrum.core.CoreEffect

/**
 * Connects the effects of the decision core with the plug-ins that carry them out.
 *
 * Plug-ins replace the functions when they start. All are called on the decision thread and must not block.
 */
class Ports {
    /** Carries out effects towards callers. */
    var caller: (CoreEffect.Caller) -> Unit = {}

    /** Sends messages to peers. */
    var peer: (CoreEffect.Send) -> Unit = {}

    /** Reads and writes the platform's objects. */
    var store: (CoreEffect.Store) -> Unit = {}

    /** Sends orders to endpoints. */
    var order: (CoreEffect.OrderEndpoint) -> Unit = {}

    /** Reads load pages of endpoints. */
    var load: (CoreEffect.ReadLoad) -> Unit = {}

    /** Takes what concerns operators. */
    val notices = ArrayList<(CoreEffect) -> Unit>()

    /** Carries out [effect]. */
    fun run(effect: CoreEffect) {
        when (effect) {
            is CoreEffect.Caller -> caller(effect)
            is CoreEffect.Send -> peer(effect)
            is CoreEffect.Store -> store(effect)
            is CoreEffect.OrderEndpoint -> order(effect)
            is CoreEffect.ReadLoad -> load(effect)
            else -> for (notice in notices) notice(effect)
        }
    }
}
