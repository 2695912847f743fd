package io.camphordrum.bench

import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Runs one JVM as a child process with its output in a log file; signals go to this process only. */
class ChildProcess(private val command: List<String>, private val logFile: Path) {
    private var process: Process? = null

    /** Starts or restarts the process. */
    fun start() {
        val output = ProcessBuilder.Redirect.appendTo(logFile.toFile())
        process = ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output).start()
    }

    /** Whether the process is running. */
    val isRunning: Boolean get() = process?.isAlive ?: false

    /** Waits for the process to exit and returns its exit status, or null after [seconds]. */
    fun awaitExit(seconds: Long): Int? {
        val running = process ?: return null
        return if (running.waitFor(seconds, TimeUnit.SECONDS)) running.exitValue() else null
    }

    /** Sends SIGTERM and waits up to [seconds], then sends SIGKILL. */
    fun stop(seconds: Long) {
        process?.destroy()
        if (awaitExit(seconds) == null) kill()
    }

    /** Sends SIGKILL. */
    fun kill() {
        process?.destroyForcibly()
    }

    /** Returns the first line of the log file. */
    fun firstLine(): String = logFile.toFile().useLines { it.firstOrNull().orEmpty() }

    companion object {
        /** Returns the command that runs [mainClass] with the class path of [module] in the build below [root]. */
        fun javaCommand(
            root: Path,
            module: String,
            mainClass: String,
            heapMegabytes: Int,
            arguments: List<String>,
        ): List<String> {
            val classesDirectory = if (module == "standins") "test-classes" else "classes"
            val javaExecutable = Path.of(System.getProperty("java.home"), "bin", "java").toString()
            val classPath = "$root/$module/target/$classesDirectory:$root/$module/target/lib/*"
            return listOf(
                javaExecutable,
                "-XX:-UsePerfData",
                "-XX:+UseSerialGC",
                "-Xmx${heapMegabytes}m",
                "-cp",
                classPath,
                mainClass,
            ) + arguments
        }
    }
}
