package io.camphordrum.daemon

/**
 * Connects the kernel with one port: callers, endpoints, platform, peers, operators or telemetry.
 *
 * Implementations are listed in `META-INF/services/io.camphordrum.daemon.Plugin` and need a constructor without
 * arguments. The kernel starts them by ascending [order] and stops them in the reverse order.
 */
interface Plugin {
    /** A short name for logs and thread names. */
    val name: String

    /** Position in the start sequence; callers are started last so that no request arrives early. */
    val order: Int

    /** Starts the plug-in; throws when its port cannot be opened. */
    fun start(kernel: Kernel)

    /** Begins a graceful shutdown: the plug-in takes no new work, but running work continues. */
    fun drain() {}

    /** Releases everything. */
    fun stop()
}
