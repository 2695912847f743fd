package io.camphordrum.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

private val log = KotlinLogging.logger {}

private const val EXIT_INVALID_SETTINGS = 2
private const val EXIT_START_FAILED = 3

/** Starts the daemon: `camphordrumd --config FILE [--check]`. */
fun main(args: Array<String>) {
    val parser = ArgParser("camphordrumd")
    val config by parser.option(ArgType.String, "config", "c", "settings file in JSON with comments").required()
    val check by parser.option(ArgType.Boolean, "check", description = "check the settings and exit")
    parser.parse(args)
    when (val result = Settings.read(Path.of(config))) {
        is SettingsResult.Invalid -> exitWithError(EXIT_INVALID_SETTINGS, result.message)
        is SettingsResult.Valid -> if (check == true) println("$config: valid") else runDaemon(result.settings)
    }
}

private fun runDaemon(settings: Settings) {
    // Prevents netty from using io_uring, which the users' instances do not allow.
    System.setProperty("com.linecorp.armeria.transportType", "epoll")
    parseLogLevel(settings.logLevel)?.apply()
    val kernel = Kernel(settings)
    val shutdownComplete = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        Thread({
            log.info { "shutdown_started" }
            kernel.stop()
            log.info { "shutdown_finished" }
            LogDrops.flush()
            shutdownComplete.countDown()
        }, "shutdown"),
    )
    try {
        kernel.start()
    } catch (e: Exception) {
        exitWithError(EXIT_START_FAILED, "cannot start: ${e.message}")
    }
    log.info { "started ${settings.instance} in ${settings.dataCentre}" }
    shutdownComplete.await()
}

private fun exitWithError(code: Int, message: String): Nothing {
    System.err.println("camphordrumd: $message")
    exitProcess(code)
}
