package io.camphordrum.daemon

import io.camphordrum.core.CoreEffect

/**
 * Routes the effects of the decision core to the plug-ins that execute them.
 *
 * Plug-ins register their handlers when they start. Handlers run on the decision thread and must not block.
 */
class Ports {
    /** Dispatches requests of callers and sends the responses. */
    var callerHandler: (CoreEffect.Caller) -> Unit = {}

    /** Sends messages to peers. */
    var peerHandler: (CoreEffect.Send) -> Unit = {}

    /** Reads and writes the platform's objects. */
    var storeHandler: (CoreEffect.Store) -> Unit = {}

    /** Sends orders to endpoints. */
    var orderHandler: (CoreEffect.OrderEndpoint) -> Unit = {}

    /** Reads load metrics of endpoints. */
    var loadHandler: (CoreEffect.ReadLoad) -> Unit = {}

    /** Listeners that receive every effect without a handler of its own. */
    val listeners = ArrayList<(CoreEffect) -> Unit>()

    /** Passes [effect] to its handler, or to all listeners. */
    fun run(effect: CoreEffect) {
        when (effect) {
            is CoreEffect.Caller -> callerHandler(effect)
            is CoreEffect.Send -> peerHandler(effect)
            is CoreEffect.Store -> storeHandler(effect)
            is CoreEffect.OrderEndpoint -> orderHandler(effect)
            is CoreEffect.ReadLoad -> loadHandler(effect)
            else -> for (listener in listeners) listener(effect)
        }
    }
}
