package io.camphordrum.daemon

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import org.slf4j.LoggerFactory

/** Names the levels that a daemon's log can have, the quietest first. */
enum class LogLevel { ERROR, WARN, INFO, DEBUG, TRACE }

/** Returns the level that [name] means, or null. */
fun logLevel(name: String): LogLevel? = LogLevel.entries.firstOrNull { it.name.equals(name, ignoreCase = true) }

/** Puts the level in force for the daemon's own log lines; libraries keep theirs. */
fun LogLevel.apply() {
    val logger = LoggerFactory.getLogger("io.camphordrum")
    if (logger is Logger) logger.level = Level.valueOf(name)
}
