import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A sound model replica with one model: it carries out orders for adapters and answers requests with event streams. */
final class Engine {
    private static final int SLOTS = 14;
    private static final long LOAD_MILLIS = 250;
    private static final int EVENTS = 8;
    private static final long EVENT_MILLIS = 27;

    /** Receives each request that begins to run: its id, its adapter, and the adapter's version. */
    interface Begin {
        void run(String id, String adapter, int version);
    }

    /** The newest version of an adapter in the weight store. */
    interface Newest {
        int of(String adapter);
    }

    private final String id;
    private final String zone;
    private final String service;
    private final Store store;
    private final Record record;
    private final Newest newest;
    private final Begin begin;
    private final ServerSocket server;
    private final long born = System.currentTimeMillis();
    private final Map<String, Integer> held = new LinkedHashMap<>();
    private final Map<String, Integer> incoming = new LinkedHashMap<>();
    private long accepted;
    private long sequence;

    Engine(String host, String id, String zone, String service, Store store, Record record, Newest newest, Begin begin)
            throws IOException {
        this.id = id;
        this.zone = zone;
        this.service = service;
        this.store = store;
        this.record = record;
        this.newest = newest;
        this.begin = begin;
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 256);
        register();
        Replica.start("engine-" + id, this::accept);
        Replica.start("beat-" + id, this::beat);
    }

    private synchronized String models() {
        return "[{\"name\":\"m0\",\"version\":1,\"adapters\":[" + names(held, "") + "]}]";
    }

    private static String names(Map<String, Integer> adapters, String prefix) {
        List<String> names = new ArrayList<>();
        adapters.forEach((name, version) -> names.add("\"" + prefix + name + "@" + version + "\""));
        return String.join(",", names);
    }

    private synchronized void register() {
        store.put("servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + server.getInetAddress().getHostAddress()
            + ":" + server.getLocalPort() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
            + "\"coldRemainingMs\":0,\"stage\":\"colocated\",\"born\":" + born + ",\"models\":" + models() + ",\"sequence\":"
            + sequence++ + "}");
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
                Replica.start("connection-" + id, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Message request = Http.read(in, false);
                if (request == null || !request.whole) return;
                String attempt = request.header("x-attempt-id");
                String echo = attempt == null ? "" : "X-Attempt-Id: " + attempt + "\r\n";
                if (request.header("x-expected-instance") != null && !id.equals(request.header("x-expected-instance"))) {
                    Http.write(out, "HTTP/1.1 421 Misdirected Request", echo, new byte[0]);
                } else if (request.target().equals("/api/report")) {
                    Http.write(out, "HTTP/1.1 200 OK", echo + "Content-Type: application/json\r\n",
                        report().getBytes(StandardCharsets.UTF_8));
                } else if (request.target().equals("/api/order")) {
                    int status = order(new String(request.body, StandardCharsets.UTF_8));
                    Http.write(out, "HTTP/1.1 " + status + " Order", echo, new byte[0]);
                } else if (request.target().equals("/health")) {
                    Http.write(out, "HTTP/1.1 200 OK", echo + "X-Instance-Id: " + id + "\r\n", new byte[0]);
                } else {
                    run(request, attempt, out);
                }
            }
        } catch (IOException e) {
            record.line("%s: connection failed: %s", id, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized String report() {
        return "{\"stage\":\"colocated\",\"born\":" + born + ",\"models\":" + models() + ",\"busy\":false,\"sequence\":" + accepted
            + ",\"waiting\":0,\"running\":0,\"kvCacheUsed\":0,\"kvCacheTotal\":109466,\"handles\":0,\"incoming\":["
            + names(incoming, "m0/") + "]}";
    }

    private static String field(String body, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*(\"([^\"]*)\"|\\d+)").matcher(body);
        if (!matcher.find()) return null;
        return matcher.group(2) != null ? matcher.group(2) : matcher.group(1);
    }

    private synchronized int order(String body) {
        String adapter = field(body, "adapter");
        boolean load = "loading".equals(field(body, "operation"));
        String named = field(body, "version");
        int version = named != null ? Integer.parseInt(named) : newest.of(adapter);
        boolean repeated = load && incoming.containsKey(adapter);
        int status = answerTo(body, adapter, load, version);
        if (!repeated) {
            record.line("%s: order %s %s, version %s, expect %s, token %s: %d", id, load ? "load" : "unload", adapter, named,
                field(body, "expect"), field(body, "fencingToken"), status);
        }
        return status;
    }

    private int answerTo(String body, String adapter, boolean load, int version) {
        if (adapter == null) return 200;
        if (load && incoming.getOrDefault(adapter, -1) == version) return 202;
        if (load && held.getOrDefault(adapter, -1) == version) return 200;
        if (!load && !held.containsKey(adapter) && !incoming.containsKey(adapter)) return 200;
        String expect = field(body, "expect");
        if (expect != null && Long.parseLong(expect) != accepted) return 409;
        if (!load) {
            accepted++;
            held.remove(adapter);
            return 200;
        }
        if (incoming.size() >= 4) return 409;
        if (!held.containsKey(adapter) && held.size() + incoming.size() >= SLOTS) {
            record.line("%s: ordered to hold more than %d adapters", id, SLOTS);
            return 409;
        }
        accepted++;
        incoming.put(adapter, version);
        Replica.start("load", () -> {
            try {
                Thread.sleep(LOAD_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                if (incoming.remove(adapter) != null) held.put(adapter, version);
            }
        });
        return 202;
    }

    private void run(Http.Message request, String attempt, OutputStream out) throws IOException, InterruptedException {
        String[] model = request.header("x-model").split("/");
        String expected = request.header("x-expected-version");
        Integer version;
        synchronized (this) {
            version = held.get(model[1]);
        }
        if (version == null || (expected != null && Integer.parseInt(expected) != version)) {
            Http.write(out, "HTTP/1.1 421 Misdirected Request", "X-Attempt-Id: " + attempt + "\r\nX-Not-Executed: 1\r\n", new byte[0]);
            return;
        }
        begin.run(attempt, model[1], version);
        out.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: " + id + "." + attempt
            + "\r\nX-Weight-Versions: " + version + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
        for (int i = 1; i <= EVENTS; i++) {
            String event = "id: " + i + "\ndata: token " + i + "\n\n";
            out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            Thread.sleep(EVENT_MILLIS);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
