import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A sound model replica: it holds what it is ordered to hold, and streams events that tell the version in use. */
class Engine extends Replica {
    private record Adapter(int version, long readyAtNanos) {
    }

    private static final int PLACES = 14;
    private static final long LOAD_NANOS = 250_000_000L;
    private final Store store;
    private final Map<String, Adapter> adapters = new LinkedHashMap<>();
    private long sequence;

    /** Events of a stream, and the pause between two of them. */
    volatile int events = 5;
    volatile long pauseMillis = 20;

    Engine(String id, String zone, Store store, Record record) throws IOException {
        super(id, Config.ENGINES, zone, 64, record);
        this.store = store;
    }

    @Override
    synchronized Map<String, Object> entry() {
        Map<String, Object> entry = super.entry();
        entry.put("stage", "colocated");
        entry.put("models", models());
        entry.put("sequence", sequence);
        return entry;
    }

    private List<Object> models() {
        List<Object> held = new ArrayList<>();
        adapters.forEach((name, adapter) -> {
            if (adapter.readyAtNanos <= System.nanoTime()) held.add(name + "@" + adapter.version);
        });
        return List.of(Json.of("name", Config.MODEL, "version", 1, "adapters", held));
    }

    private synchronized Map<String, Object> report() {
        List<Object> incoming = new ArrayList<>();
        adapters.forEach((name, adapter) -> {
            if (adapter.readyAtNanos > System.nanoTime()) incoming.add(Config.MODEL + "/" + name + "@" + adapter.version);
        });
        return Json.of("stage", "colocated", "models", models(), "busy", false, "sequence", sequence, "waiting", 0,
            "running", 0, "kvCacheUsed", 0, "kvCacheTotal", 109466, "handles", 0, "incoming", incoming, "born", born);
    }

    private synchronized String order(Map<String, Object> order) {
        String name = (String) order.get("adapter");
        Object expect = order.get("expect");
        if (order.get("holder") == null || order.get("fencingToken") == null || name == null) return "400 Bad Request";
        boolean load = "loading".equals(order.get("operation"));
        Adapter held = adapters.get(name);
        int newest = newest(name);
        int wanted = order.get("version") == null ? newest : (int) (long) order.get("version");
        if (load && held != null && held.version >= wanted) {
            return held.readyAtNanos <= System.nanoTime() ? "200 OK" : "202 Accepted";
        }
        if (!load && held == null) return "200 OK";
        if (expect != null && (long) expect != sequence) return "409 Conflict";
        if (load && held == null && adapters.size() >= PLACES) throw new IllegalStateException("more than it holds");
        sequence++;
        record.line("%s is ordered: %s %s version %d", id, order.get("operation"), name, wanted);
        if (!load) {
            adapters.remove(name);
            return "200 OK";
        }
        adapters.put(name, new Adapter(wanted, System.nanoTime() + LOAD_NANOS));
        return "202 Accepted";
    }

    private int newest(String adapter) {
        Integer version = store.version(Config.MODEL + "." + adapter);
        return version == null ? 1 : version;
    }

    @Override
    void run(Http.Message request, Socket socket, OutputStream out) throws Exception {
        byte[] none = new byte[0];
        if (request.target().equals("/api/report")) {
            answer(out, request, "200 OK", Map.of(), Json.write(report()).getBytes(StandardCharsets.UTF_8));
            return;
        }
        if (request.target().equals("/api/order")) {
            answer(out, request, order(Json.object(request.text())), Map.of(), none);
            return;
        }
        String model = request.header("x-model");
        String name = model == null ? "" : model.substring(model.indexOf('/') + 1);
        String expected = request.header("x-expected-version");
        int version;
        synchronized (this) {
            Adapter held = adapters.get(name);
            boolean ready = held != null && held.readyAtNanos <= System.nanoTime();
            version = ready ? held.version : 0;
        }
        if (version == 0 || (expected != null && Integer.parseInt(expected) != version)) {
            answer(out, request, "421 Misdirected Request", Map.of("X-Instance-Id", id), none);
            return;
        }
        record.line("%s runs %s on adapter %s version %d", id, request.header("x-attempt-id"), name, version);
        begun(request, name, version);
        String head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("x-attempt-id") + "\r\nX-Response-Signature: sig."
            + id + "\r\nX-Weight-Versions: " + version + "\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        for (int i = 1; i <= events; i++) {
            byte[] event = ("id: " + i + "\ndata: version " + version + "\n\n").getBytes(StandardCharsets.US_ASCII);
            out.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(event);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
            Thread.sleep(pauseMillis);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    /** Called when a request begins to run. */
    void begun(Http.Message request, String adapter, int version) {
    }
}
