package io.camphordrum.daemon

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import org.slf4j.LoggerFactory

/** Lists the levels of the daemon's log, from least to most verbose. */
enum class LogLevel { ERROR, WARN, INFO, DEBUG, TRACE }

/** Returns the level called [name], ignoring case, or null. */
fun parseLogLevel(name: String): LogLevel? = LogLevel.entries.firstOrNull { it.name.equals(name, ignoreCase = true) }

/** Sets the level of the daemon's own loggers; the levels of libraries do not change. */
fun LogLevel.apply() {
    val logger = LoggerFactory.getLogger("io.camphordrum")
    if (logger is Logger) logger.level = Level.valueOf(name)
}
