package io.camphordrum.daemon

/**
 * Connects the kernel with one port: callers, endpoints, platform, peers, operators or telemetry.
 *
 * Implementations are listed in `META-INF/services/io.camphordrum.daemon.Plugin` and need a constructor without
 * arguments. The kernel starts them by ascending [order] and stops them in the reverse order.
 */
interface Plugin {
    /** Short name for logs and thread names. */
    val name: String

    /** Position in the start sequence; the callers plug-in starts last so that no request is accepted too early. */
    val order: Int

    /** Starts the plug-in; throws when its port cannot be opened. */
    fun start(kernel: Kernel)

    /** Starts a graceful shutdown: the plug-in accepts no new work, but running work continues. */
    fun drain() {}

    /** Stops the plug-in and releases its resources. */
    fun stop()
}
