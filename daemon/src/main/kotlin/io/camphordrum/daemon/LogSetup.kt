package io.camphordrum.daemon

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.encoder.Encoder
import ch.qos.logback.core.spi.ContextAwareBase
import org.slf4j.Logger
import java.util.concurrent.atomic.AtomicLong

/**
 * Configures the daemon's log: JSON lines on standard output, through a bounded queue that never blocks.
 *
 * Logback finds this class by `java.util.ServiceLoader`. A Joran configuration file would load an XML parser and an
 * object mapper at every start.
 */
class LogSetup :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        val encoder = JsonLineEncoder().also { it.context = context }
        val appender = startAsyncAppender(context, encoder)
        context.getLogger(Logger.ROOT_LOGGER_NAME).apply {
            level = Level.INFO
            addAppender(appender)
        }
        context.getLogger("com.linecorp.armeria").level = Level.WARN
        context.getLogger("io.netty").level = Level.WARN
        context.getLogger("io.micrometer").level = Level.ERROR
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }
}

/** Returns a started appender that writes lines from [encoder] to standard output on a separate thread. */
internal fun startAsyncAppender(context: LoggerContext, encoder: Encoder<ILoggingEvent>): BoundedAsyncAppender {
    encoder.start()
    val stdout = ConsoleAppender<ILoggingEvent>().also {
        it.context = context
        it.name = "stdout"
        it.encoder = encoder
        it.start()
    }
    return BoundedAsyncAppender().also {
        it.context = context
        it.name = "json"
        it.addAppender(stdout)
        it.start()
    }
}

/** Queues log lines until they are written; a full queue drops and counts new lines and never blocks the caller. */
internal class BoundedAsyncAppender : AsyncAppender() {
    init {
        queueSize = QUEUE_LINES
        // Disables Logback's default, which drops lines below WARN when the queue is four fifths full.
        discardingThreshold = 0
        isNeverBlock = true
    }

    override fun append(event: ILoggingEvent) {
        if (remainingCapacity == 0) LogDrops.increment() else super.append(event)
    }

    private companion object {
        // Holds one second of lines of a busy daemon.
        const val QUEUE_LINES = 1_024
    }
}

/** Counts the log lines that were dropped because the log queue was full. */
object LogDrops {
    private val dropped = AtomicLong()

    /** Number of lines dropped since the start of the process. */
    val count: Long get() = dropped.get()

    internal fun increment() {
        dropped.incrementAndGet()
    }

    /** Writes the queued lines and stops logging; called at the end of the process. */
    fun flush() {
        (org.slf4j.LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
    }
}
