import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound replica of a plain service: reads a whole request, works on it for a while and answers with its signature. */
final class Replica {
    final String id;
    final String service;
    final String zone;
    final long workMillis;
    final ServerSocket server;
    private final Record record;
    private final Store store;
    private final long born = System.currentTimeMillis();
    private long sequence;

    /** Receives each request that begins to run. */
    interface Run {
        void begin(Http.Message request);
    }

    /** Tells how long the answer to a request is. */
    interface AnswerBytes {
        int of(Http.Message request);
    }

    volatile AnswerBytes answerBytes = request -> 20;

    private final Run run;

    /** Number of runs by attempt id, over all replicas that share this map. */
    final Map<String, AtomicInteger> runs;

    Replica(String host, String id, String service, String zone, long workMillis, Store store, Record record,
            Map<String, AtomicInteger> runs, Run run) throws IOException {
        this.run = run;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.workMillis = workMillis;
        this.store = store;
        this.record = record;
        this.runs = runs;
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 256);
        register();
        start("replica-" + id, this::accept);
        start("beat-" + id, this::beat);
    }

    static Map<String, AtomicInteger> newRuns() {
        return new ConcurrentHashMap<>();
    }

    static void start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void register() {
        store.put("servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + server.getInetAddress().getHostAddress()
            + ":" + server.getLocalPort() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
            + "\"coldRemainingMs\":0,\"born\":" + born + ",\"sequence\":" + sequence++ + "}");
    }

    private void beat() {
        try {
            while (true) {
                Thread.sleep(1_200);
                register();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                start("connection-" + id, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Message request = Http.read(in, false);
                if (request == null) return;
                if (!request.whole) {
                    record.line("%s: the connection ended inside a request", id);
                    return;
                }
                if (request.target().equals("/health")) {
                    Http.write(out, "HTTP/1.1 200 OK", "X-Instance-Id: " + id + "\r\n", new byte[0]);
                    continue;
                }
                String attempt = request.header("x-attempt-id");
                if (!id.equals(request.header("x-expected-instance"))) {
                    Http.write(out, "HTTP/1.1 421 Misdirected Request", "X-Attempt-Id: " + attempt + "\r\n", new byte[0]);
                    continue;
                }
                int times = runs.computeIfAbsent(attempt, k -> new AtomicInteger()).incrementAndGet();
                record.line("%s: runs %s (%d bytes), run %d", id, attempt, request.body.length, times);
                run.begin(request);
                Thread.sleep(workMillis);
                Http.write(out, "HTTP/1.1 200 OK", "X-Attempt-Id: " + attempt + "\r\nX-Response-Signature: " + id + "."
                    + attempt + "\r\nContent-Type: text/plain\r\n",
                    Arrays.copyOf(("done " + attempt).getBytes(StandardCharsets.UTF_8), answerBytes.of(request)));
                record.line("%s: has answered %s", id, attempt);
            }
        } catch (IOException e) {
            record.line("%s: connection failed: %s", id, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
