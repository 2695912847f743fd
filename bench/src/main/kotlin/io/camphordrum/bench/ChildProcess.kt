package io.camphordrum.bench

import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Runs one JVM as a process with its output in a log file; only its own id is ever signalled. */
class ChildProcess(private val command: List<String>, private val log: Path) {
    private var process: Process? = null

    /** Starts, or starts again, the process. */
    fun start() {
        val output = ProcessBuilder.Redirect.appendTo(log.toFile())
        process = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output).start()
    }

    /** Whether the process runs. */
    val alive: Boolean get() = process?.isAlive ?: false

    /** Waits for the end and returns the exit status, or null after [seconds]. */
    fun await(seconds: Long): Int? {
        val running = process ?: return null
        return if (running.waitFor(seconds, TimeUnit.SECONDS)) running.exitValue() else null
    }

    /** Sends SIGTERM and waits up to [seconds], then kills. */
    fun stop(seconds: Long) {
        process?.destroy()
        if (await(seconds) == null) kill()
    }

    /** Sends SIGKILL. */
    fun kill() {
        process?.destroyForcibly()
    }

    /** Returns the first line that the process wrote. */
    fun firstLine(): String = log.toFile().useLines { it.firstOrNull().orEmpty() }

    companion object {
        /** Returns the command that runs [main] with the class path of [module] below [root]. */
        fun java(root: Path, module: String, main: String, heapMegabytes: Int, arguments: List<String>): List<String> {
            val classes = if (module == "standins") "test-classes" else "classes"
            val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
            val path = "$root/$module/target/$classes:$root/$module/target/lib/*"
            return listOf(java, "-XX:-UsePerfData", "-XX:+UseSerialGC", "-Xmx${heapMegabytes}m", "-cp", path, main) +
                arguments
        }
    }
}
