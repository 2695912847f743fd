import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store as PROTOCOL.md describes it: objects, conditional writes, pages and watches. */
final class Store implements AutoCloseable {
    private record Event(long revision, String kind, Map<String, Object> object, boolean tombstone) {
    }

    private static final int PAGE_OBJECTS = 500;
    private final ServerSocket server;
    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 100;

    // The history up to this revision is forgotten; a rise cuts the watches that wait.
    private long forgotten;

    /** Milliseconds that an answer takes. */
    volatile long answerMillis = 4;

    /** Whether the store is down: a call that arrives gets no answer, and its connection returns nothing further. */
    volatile boolean silent;

    Store() throws IOException {
        server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        Threads.start("store", this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    int port() {
        return server.getLocalPort();
    }

    /** Writes an object as the operator or a replica does. */
    synchronized long put(String kind, String name, Map<String, Object> specification) {
        Map<String, Object> old = kind(kind).get(name);
        if (old != null && withoutSequence(specification).equals(withoutSequence(old.get("specification")))) {
            return revision;
        }
        return store(kind, name, specification, old);
    }

    // An entry changes when more than its `sequence` changes.
    private static Map<?, ?> withoutSequence(Object specification) {
        Map<?, ?> fields = new HashMap<>((Map<?, ?>) specification);
        fields.remove("sequence");
        return fields;
    }

    /** Returns the version that the record of an adapter names, or null. */
    synchronized Integer version(String name) {
        Map<String, Object> object = kind("versions").get(name);
        if (object == null) return null;
        return ((Number) ((Map<?, ?>) object.get("specification")).get("version")).intValue();
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> old = kind(kind).remove(name);
        if (old == null) return;
        events.add(new Event(++revision, kind, object(name, revision, old), true));
        notifyAll();
    }

    private Map<String, Object> object(String name, long at, Map<String, Object> old) {
        return Json.of("metadata", metadata(name, at, at), "specification", old.get("specification"),
            "status", old.get("status"));
    }

    private Map<String, Object> metadata(String name, long at, long created) {
        return Json.of("name", name, "revision", at, "created", created, "finalizers", new ArrayList<>(),
            "deleting", false);
    }

    private long store(String kind, String name, Object specification, Map<String, Object> old) {
        long at = ++revision;
        Map<String, Object> object = Json.of("metadata", metadata(name, at, at), "specification", specification,
            "status", old == null ? null : old.get("status"));
        kind(kind).put(name, object);
        events.add(new Event(at, kind, object, false));
        notifyAll();
        return at;
    }

    private TreeMap<String, Map<String, Object>> kind(String kind) {
        return kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Threads.start("store call", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message call = Http.head(in); call != null; call = Http.head(in)) {
                call.body = Http.body(call, in);
                if (silent) {
                    while (in.read() >= 0) continue;
                    return;
                }
                String[] result = answer(call);
                if (result == null) return;
                Thread.sleep(answerMillis);
                byte[] body = result[1].getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + result[0] + "\r\ncontent-type: application/json\r\ncontent-length: "
                    + body.length + "\r\n\r\n";
                byte[] headBytes = head.getBytes(StandardCharsets.US_ASCII);
                byte[] all = java.util.Arrays.copyOf(headBytes, headBytes.length + body.length);
                System.arraycopy(body, 0, all, headBytes.length, body.length);
                out.write(all);
                out.flush();
            }
        }
    }

    private String[] answer(Http.Message call) throws InterruptedException {
        String[] parts = call.target().split("\\?", 2);
        String[] path = parts[0].substring("/api/objects/".length()).split("/");
        Map<String, String> query = new HashMap<>();
        if (parts.length > 1) {
            for (String pair : parts[1].split("&")) query.put(pair.split("=", 2)[0], decode(pair.split("=", 2)[1]));
        }
        String kind = path[0];
        if (query.containsKey("watch")) {
            return watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.get("waitMs")));
        }
        synchronized (this) {
            if (call.method().equals("GET")) {
                return path.length > 1 ? read(kind, decode(path[1])) : list(kind, query.get("after"));
            }
            return write(call, kind, path, query);
        }
    }

    private String[] read(String kind, String name) {
        Map<String, Object> object = kind(kind).get(name);
        return object == null ? result("404 Not Found", Json.of()) : result("200 OK", object);
    }

    private String[] list(String kind, String after) {
        List<Object> items = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Map<String, Object>> entry : kind(kind).entrySet()) {
            if (after != null && entry.getKey().compareTo(after) <= 0) continue;
            if (items.size() == PAGE_OBJECTS) {
                more = true;
                break;
            }
            items.add(entry.getValue());
        }
        return result("200 OK", Json.of("items", items, "hasMore", more, "at", revision));
    }

    private String[] write(Http.Message call, String kind, String[] path, Map<String, String> query) {
        Map<String, Object> body = call.body.length == 0 ? Json.of() : Json.object(call.text());
        Object metadata = body.get("metadata");
        Object expected = metadata instanceof Map<?, ?> map ? map.get("revision") : null;
        if (query.containsKey("revision")) expected = Long.parseLong(query.get("revision"));
        String name = path.length > 1 ? decode(path[1]) : (String) ((Map<?, ?>) metadata).get("name");
        Map<String, Object> old = kind(kind).get(name);
        boolean create = call.method().equals("POST");
        if (create && old != null) return result("409 Conflict", old);
        if (!create && old == null) return result("404 Not Found", Json.of());
        if (!create && expected != null && !expected.equals(((Map<?, ?>) old.get("metadata")).get("revision"))) {
            return result("409 Conflict", old);
        }
        if (call.method().equals("DELETE")) {
            remove(kind, name);
            return result("200 OK", old);
        }
        if (old == null || !body.get("specification").equals(old.get("specification"))) {
            store(kind, name, body.get("specification"), old);
        }
        return result(create ? "201 Created" : "200 OK", kind(kind).get(name));
    }

    /** Forgets the history; watches that wait are cut. */
    synchronized void compact() {
        events.clear();
        forgotten = revision;
        notifyAll();
    }

    private synchronized String[] watch(String kind, long from, long waitMillis) throws InterruptedException {
        if (from < forgotten) return result("410 Gone", Json.of());
        long before = forgotten;
        long until = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<Object> found = new ArrayList<>();
            for (Event event : events) {
                if (event.revision > from && event.kind.equals(kind)) {
                    found.add(Json.of("tombstone", event.tombstone, "object", event.object));
                }
            }
            if (forgotten > before) return null;
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || left <= 0) return result("200 OK", Json.of("events", found, "at", revision));
            wait(left);
        }
    }

    private static String[] result(String status, Object body) {
        return new String[] {status, Json.write(body)};
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
