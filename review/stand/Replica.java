import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A sound replica as PROTOCOL.md describes it; a case overrides [run] to say how a request is answered. */
class Replica implements AutoCloseable {
    final String id;
    final String service;
    final String zone;
    final int slots;
    final long born = System.currentTimeMillis();
    final ServerSocket server;
    final Record record;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    volatile String state = "ready";
    private volatile boolean closed;

    Replica(String id, String service, String zone, int slots, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.record = record;
        server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        Threads.start("replica " + id, this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** What the replica says of itself in the store. */
    Map<String, Object> entry() {
        return Json.of("service", service, "address", address(), "zone", zone, "version", "v1", "slots", slots,
            "state", state, "coldRemainingMs", 0, "sequence", 0, "born", born);
    }

    /** Registers now and writes again with each heartbeat. */
    void register(Store store) {
        store.put("servers", id, entry());
        Threads.start("beat " + id, () -> {
            // Replicas start at different times, so their heartbeats do not come together.
            Thread.sleep(Math.floorMod(id.hashCode() * 97, 1_200));
            while (!closed) {
                Thread.sleep(1_200);
                if (!closed && !store.silent) store.put("servers", id, entry());
            }
        });
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            sockets.add(socket);
            Threads.start("replica connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.head(in); request != null; request = Http.head(in)) {
                request.body = Http.body(request, in);
                String expected = request.header("x-expected-instance");
                if (expected != null && !expected.equals(id)) {
                    answer(out, request, "421 Misdirected Request", Map.of("X-Instance-Id", id), new byte[0]);
                } else if (request.target().equals("/health")) {
                    Map<String, String> headers = Map.of("X-Instance-Id", id, "X-Replica-Load", "0,0," + slots);
                    answer(out, request, "200 OK", headers, new byte[0]);
                } else {
                    run(request, socket, out);
                }
            }
        } finally {
            sockets.remove(socket);
        }
    }

    /** Runs a request and answers it. */
    void run(Http.Message request, Socket socket, OutputStream out) throws Exception {
        record.line("%s runs %s %s", id, request.header("x-attempt-id"), request.target());
        answer(out, request, "200 OK", Map.of(), "done".getBytes(StandardCharsets.UTF_8));
    }

    /** Writes a whole answer, with the signature if it is a success. */
    void answer(OutputStream out, Http.Message request, String status, Map<String, String> headers, byte[] body)
        throws IOException {
        out.write(head(request, status, headers, body.length));
        out.write(body);
        out.flush();
    }

    byte[] head(Http.Message request, String status, Map<String, String> headers, int length) {
        Map<String, String> all = new LinkedHashMap<>();
        String attempt = request.header("x-attempt-id");
        if (attempt != null) all.put("X-Attempt-Id", attempt);
        if (attempt != null && status.startsWith("2")) all.put("X-Response-Signature", "sig." + id + "." + attempt);
        all.putAll(headers);
        all.put("Content-Length", String.valueOf(length));
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + "\r\n");
        all.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        return head.append("\r\n").toString().getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
        List<Socket> open = new ArrayList<>(sockets);
        for (Socket socket : open) socket.close();
    }
}
