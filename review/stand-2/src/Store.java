import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store, as PROTOCOL.md tells it: objects by kind and name, one revision counter, lists and watches. */
final class Store {
    private static final class Entry {
        String name;
        long revision;
        long created;
        String specification;

        String json() {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision + ",\"created\":" + created
                + ",\"finalizers\":[],\"deleting\":false},\"specification\":" + specification + ",\"status\":null}";
        }
    }

    private static final class Event {
        long millis;
        long revision;
        String kind;
        String json;
    }

    // The sheet: 4 ms an answer, 20 s of history; PROTOCOL.md: about 500 items a page.
    private static final long ANSWER_MILLIS = 4;
    private static final long HISTORY_MILLIS = 20_000;
    private static final int PAGE = 500;

    private static final Pattern NAME = Pattern.compile("\"name\"\\s*:\\s*\"([^\"]*)\"");
    private static final Pattern REVISION = Pattern.compile("\"revision\"\\s*:\\s*(\\d+)");

    final ServerSocket server;
    private final Map<String, TreeMap<String, Entry>> kinds = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 100;

    // The newest revision whose history is gone.
    private long forgotten;

    Store(String host) throws IOException {
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 256);
        Thread thread = new Thread(this::accept, "store");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Creates or replaces an object. */
    synchronized long put(String kind, String name, String specification) {
        TreeMap<String, Entry> objects = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
        Entry entry = objects.get(name);
        if (entry != null && entry.specification.equals(specification)) return entry.revision;
        if (entry == null) {
            entry = new Entry();
            entry.name = name;
            entry.created = revision + 1;
            objects.put(name, entry);
        }
        entry.specification = specification;
        entry.revision = ++revision;
        record(kind, entry, false);
        return entry.revision;
    }

    synchronized void remove(String kind, String name) {
        Entry entry = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).remove(name);
        if (entry == null) return;
        entry.revision = ++revision;
        record(kind, entry, true);
    }

    private void record(String kind, Entry entry, boolean tombstone) {
        Event event = new Event();
        event.millis = System.currentTimeMillis();
        event.revision = revision;
        event.kind = kind;
        event.json = "{\"tombstone\":" + tombstone + ",\"object\":" + entry.json() + "}";
        events.add(event);
        while (event.millis - events.get(0).millis > HISTORY_MILLIS) forgotten = events.remove(0).revision;
        notifyAll();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Thread thread = new Thread(() -> serve(socket), "store-connection");
                thread.setDaemon(true);
                thread.start();
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
                if (request == null) return;
                // Half of the time of an answer before the read or write takes effect, half after it.
                Thread.sleep(ANSWER_MILLIS / 2);
                String[] answer = handle(request);
                Thread.sleep(ANSWER_MILLIS / 2);
                Http.write(out, "HTTP/1.1 " + answer[0], "content-type: application/json\r\n",
                    answer[1].getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException | InterruptedException e) {
            // The caller has gone.
        }
    }

    private String[] handle(Http.Message request) throws InterruptedException {
        String[] target = request.target().split("\\?", 2);
        String[] path = target[0].split("/");
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
            }
        }
        String kind = path[3];
        String name = path.length > 4 ? URLDecoder.decode(path[4], StandardCharsets.UTF_8) : null;
        String body = new String(request.body, StandardCharsets.UTF_8);
        switch (request.method()) {
            case "GET":
                if (query.containsKey("watch")) {
                    return watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("waitMs", "0")));
                }
                return name == null ? list(kind, query.get("after")) : get(kind, name);
            case "POST":
                return write(kind, null, body, query, true);
            case "PUT":
                return write(kind, name, body, query, false);
            default:
                return delete(kind, name, query);
        }
    }

    private synchronized String[] list(String kind, String after) {
        TreeMap<String, Entry> all = kinds.computeIfAbsent(kind, k -> new TreeMap<>());
        List<String> items = new ArrayList<>();
        boolean more = false;
        for (Entry entry : (after == null ? all : all.tailMap(after, false)).values()) {
            if (items.size() == PAGE) {
                more = true;
                break;
            }
            items.add(entry.json());
        }
        return new String[] {"200 OK", "{\"items\":[" + String.join(",", items) + "],\"hasMore\":" + more + ",\"at\":" + revision + "}"};
    }

    private synchronized String[] get(String kind, String name) {
        Entry entry = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).get(name);
        return entry == null ? new String[] {"404 Not Found", "{}"} : new String[] {"200 OK", entry.json()};
    }

    private synchronized String[] watch(String kind, long from, long waitMillis) throws InterruptedException {
        long until = System.currentTimeMillis() + waitMillis;
        if (from < forgotten) return new String[] {"410 Gone", "{}"};
        while (true) {
            List<String> found = new ArrayList<>();
            for (Event event : events) if (event.revision > from && event.kind.equals(kind)) found.add(event.json);
            long left = until - System.currentTimeMillis();
            if (!found.isEmpty() || left <= 0) {
                return new String[] {"200 OK", "{\"events\":[" + String.join(",", found) + "],\"at\":" + revision + "}"};
            }
            wait(left);
        }
    }

    private synchronized String[] write(String kind, String name, String body, Map<String, String> query, boolean create) {
        String metadata = body.substring(body.indexOf("\"metadata\""), body.indexOf('}') + 1);
        if (name == null) {
            Matcher matcher = NAME.matcher(metadata);
            if (!matcher.find()) return new String[] {"400 Bad Request", "{}"};
            name = matcher.group(1);
        }
        Matcher matcher = REVISION.matcher(metadata);
        Long expected = matcher.find() ? Long.valueOf(matcher.group(1)) : null;
        if (query.containsKey("revision")) expected = Long.valueOf(query.get("revision"));
        Entry entry = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).get(name);
        if (create && entry != null) return new String[] {"409 Conflict", entry.json()};
        if (!create && entry == null) return new String[] {"404 Not Found", "{}"};
        if (!create && expected != null && expected != entry.revision) return new String[] {"409 Conflict", entry.json()};
        int start = body.indexOf("\"specification\":") + "\"specification\":".length();
        put(kind, name, body.substring(start, body.lastIndexOf('}')));
        return new String[] {create ? "201 Created" : "200 OK", kinds.get(kind).get(name).json()};
    }

    private synchronized String[] delete(String kind, String name, Map<String, String> query) {
        Entry entry = kinds.computeIfAbsent(kind, k -> new TreeMap<>()).get(name);
        if (entry == null) return new String[] {"404 Not Found", "{}"};
        if (query.containsKey("revision") && Long.parseLong(query.get("revision")) != entry.revision) {
            return new String[] {"409 Conflict", entry.json()};
        }
        remove(kind, name);
        return new String[] {"200 OK", "{}"};
    }
}
