package io.camphordrum.daemon

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.Appender
import net.logstash.logback.appender.listener.AppenderListener
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicLong

/** Counts the log lines that were dropped because the ring of the log was full; named in `logback.xml`. */
class LogDrops : AppenderListener<ILoggingEvent> {
    override fun eventAppendFailed(appender: Appender<ILoggingEvent>, event: ILoggingEvent, reason: Throwable) {
        dropped.incrementAndGet()
    }

    companion object {
        private val dropped = AtomicLong()

        /** Lines dropped since the start of the process. */
        val count: Long get() = dropped.get()

        /** Writes what still waits in the ring; for the end of the process. */
        fun flush() {
            (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
        }
    }
}
