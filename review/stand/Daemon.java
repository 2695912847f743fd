import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One process of the project, started with the command of the deploy file. */
final class Daemon implements AutoCloseable {
    private static final List<Process> STARTED = new ArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    final String name;
    final int callers;
    final int readiness;
    final Path log;
    private final Path root;
    private final Path settings;
    Process process;

    /** Prepares the settings file in [folder]; the bounds are those of the site file. */
    Daemon(Path root, Path folder, String name, String zone, String storeAddress) throws IOException {
        this.root = root;
        this.name = name;
        callers = freePort();
        readiness = freePort();
        log = folder.resolve(name + ".log");
        settings = folder.resolve(name + ".json");
        Files.writeString(settings, Json.write(Json.of("instance", name, "dataCentre", zone, "host", "127.0.0.1",
            "callers", "127.0.0.1:" + callers, "readiness", "127.0.0.1:" + readiness, "peerPort", freePort(),
            "metricsPort", freePort(), "storeAddress", storeAddress, "graceSeconds", 8, "repeatRatio", 0.2,
            "repeatWindowSeconds", 10, "repeatSlack", 54, "coldFactor", 1.5, "coldSlack", 5, "drainMillis", 2000,
            "leaseMillis", 3000, "limitSlackTokens", 11000, "baseLoadWindowSeconds", 5, "baseLoadFactor", 1.1)));
    }

    void start() throws IOException {
        String command = null;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        ProcessBuilder builder = new ProcessBuilder(command.split(" ")).directory(root.toFile());
        Map<String, String> env = builder.environment();
        env.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        env.put("CAMPHORDRUM_SETTINGS", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        STARTED.add(process);
    }

    /** Waits until the daemon says that it is ready. */
    boolean awaitReady(long millis) throws InterruptedException {
        long until = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < until) {
            if (isReady()) return true;
            Thread.sleep(100);
        }
        return false;
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", readiness), 500);
            socket.setSoTimeout(1000);
            socket.getOutputStream().write("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
            Http.Message answer = Http.head(Http.buffered(socket.getInputStream()));
            return answer != null && answer.status() == 200;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    /** Sends a signal by its name, as the platform does. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    @Override
    public void close() throws InterruptedException {
        if (process == null) return;
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    // Below the ports that the system gives to outgoing connections, which could take one before the daemon does.
    private static int freePort() throws IOException {
        for (int i = 0; i < 100; i++) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Taken; the next one may be free.
            }
        }
        throw new IOException("no free port");
    }
}
