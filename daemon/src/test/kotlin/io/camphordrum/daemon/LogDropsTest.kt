package io.camphordrum.daemon

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.util.LogbackMDCAdapter
import ch.qos.logback.core.AppenderBase
import ch.qos.logback.core.ConsoleAppender
import java.util.concurrent.CountDownLatch
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertIs
import kotlin.test.assertTrue

class LogDropsTest {
    private val context = LoggerContext()
    private val root = context.getLogger(Logger.ROOT_LOGGER_NAME)

    init {
        context.mdcAdapter = LogbackMDCAdapter()
        LogSetup().configure(context)
    }

    @AfterTest
    fun stop() = context.stop()

    // Guards against an appender that writes nowhere: when the configuration did not attach the nested appender, the
    // log stayed empty for a whole day.
    @Test
    fun `lines reach standard output through the asynchronous appender`() {
        val appender = assertIs<BoundedAsyncAppender>(root.getAppender("json"))
        assertTrue(appender.isStarted)
        assertIs<ConsoleAppender<ILoggingEvent>>(appender.getAppender("stdout"))
    }

    // Guards against a reader of standard output that stops reading and thereby blocks every request that is logged.
    @Test
    fun `a blocked writer drops lines and does not delay the caller`() {
        val unblock = CountDownLatch(1)
        val appender = BoundedAsyncAppender().also { it.context = context }
        appender.addAppender(
            object : AppenderBase<ILoggingEvent>() {
                override fun append(event: ILoggingEvent) = unblock.await()
            }.also {
                it.context = context
                it.start()
            },
        )
        appender.start()
        root.detachAndStopAllAppenders()
        root.addAppender(appender)
        val droppedBefore = LogDrops.count
        val startNanos = System.nanoTime()
        repeat(10_000) { root.info("line $it") }
        val millis = (System.nanoTime() - startNanos) / 1_000_000
        unblock.countDown()
        assertTrue(LogDrops.count - droppedBefore >= 10_000 - 2 * 1_024, "${LogDrops.count - droppedBefore} dropped")
        assertTrue(millis < 2_000, "$millis ms")
    }
}
