import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the project, started with the command of the deploy file. */
final class Daemon {
    final String name;
    final String host;
    final int callers;
    final int readiness;
    private final Path settings;
    private final Path log;
    private final Path root;
    Process process;

    Daemon(Path root, Path folder, String name, String zone, String host, String store) throws IOException {
        this.root = root;
        this.name = name;
        this.host = host;
        List<Integer> ports = freePorts(host, 4);
        callers = ports.get(0);
        readiness = ports.get(1);
        settings = folder.resolve(name + ".json");
        log = folder.resolve(name + ".log");
        // What platform/settings.template makes of a small site's settings; only the addresses are free ones here.
        Files.writeString(settings, "{\"instance\":\"" + name + "\",\"dataCentre\":\"" + zone + "\",\"host\":\"" + host
            + "\",\"callers\":\"" + host + ":" + callers + "\",\"readiness\":\"" + host + ":" + readiness
            + "\",\"peerPort\":" + ports.get(2) + ",\"metricsPort\":" + ports.get(3) + ",\"storeAddress\":\"" + store
            + "\",\"graceSeconds\":8,\"repeatRatio\":0.2,\"repeatWindowSeconds\":10,\"repeatSlack\":54,\"coldFactor\":1.5,"
            + "\"coldSlack\":5,\"drainMillis\":2000,\"contactMillis\":3000,\"configApplyMillis\":2000,"
            + "\"evacuationMillis\":5000,\"versionMillis\":5000,\"leaseMillis\":3000,\"limitSlackTokens\":11000,"
            + "\"baseLoadWindowSeconds\":5,\"baseLoadFactor\":1.1}");
    }

    void start() throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) throw new IOException("deploy/system.toml has no run");
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.directory(root.toFile());
        builder.environment().put("CAMPHORDRUM_SETTINGS", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    void awaitReady(long millis) throws Exception {
        long until = System.currentTimeMillis() + millis;
        while (System.currentTimeMillis() < until) {
            if (ready() == 200) return;
            Thread.sleep(100);
        }
        throw new IOException(name + " is not ready after " + millis + " ms");
    }

    /** Returns the status of the readiness answer, or 0 without an answer. */
    int ready() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, readiness), 1_000);
            socket.setSoTimeout(1_000);
            Http.write(socket.getOutputStream(), "GET /api/readiness HTTP/1.1", "Host: ready\r\n", new byte[0]);
            Http.Message answer = Http.read(socket.getInputStream(), true);
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Sends the process a signal, such as TERM. */
    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void stop() throws Exception {
        if (process == null) return;
        process.destroyForcibly();
        process.waitFor();
    }

    private static List<Integer> freePorts(String host, int count) throws IOException {
        List<ServerSocket> open = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host));
            open.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : open) socket.close();
        return ports;
    }
}
