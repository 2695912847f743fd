package io.camphordrum.daemon

import io.camphordrum.core.Clock
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.ServiceLoader

private val log = KotlinLogging.logger {}

/**
 * Starts and stops the plug-ins and gives them what they share.
 *
 * ```kotlin
 * val kernel = Kernel(settings)
 * kernel.start()
 * ```
 */
class Kernel(val settings: Settings, val clock: Clock = SystemClock) {
    private val plugins = ServiceLoader.load(Plugin::class.java).sortedBy { it.order }

    /** Starts all registered plug-ins in order. */
    fun start() {
        for (plugin in plugins) {
            plugin.start(this)
            log.info { "plugin_started ${plugin.name}" }
        }
    }

    /** Stops taking new work, then stops all plug-ins in reverse order. */
    fun stop() {
        for (plugin in plugins.asReversed()) plugin.drain()
        for (plugin in plugins.asReversed()) plugin.stop()
    }
}
