import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A daemon restarts while the operator announces new versions of many adapters. */
public final class ListedVersions {
    private static final int ADAPTERS = Integer.getInteger("adapters", 3_000);
    private static final int PER_SECOND = Integer.getInteger("rate", 200);
    private static final long VERSION_MILLIS = 5_000;

    // When the store acknowledged version 2 of an adapter.
    private static final Map<String, Long> announced = new ConcurrentHashMap<>();

    public static void main(String[] args) {
        Case.run(args, ListedVersions::play);
    }

    private static int play(Path root, Path temporary, Record record, boolean trouble) throws Exception {
        Store store = new Store("127.0.0.1");
        store.put("config", "main", Configs.models());
        List<String> adapters = new ArrayList<>();
        for (int i = 1; i <= ADAPTERS; i++) adapters.add("a" + i);
        for (String adapter : adapters) announce(store, adapter, 1);
        store.lists = (kind, after) -> {
            if (kind.equals("versions")) record.line("store: a page of versions is read, after '%s'", after);
        };
        AtomicInteger begun = new AtomicInteger();
        AtomicInteger stale = new AtomicInteger();
        Engine.Begin begin = (id, adapter, version) -> {
            Long since = announced.get(adapter);
            long age = since == null ? -1 : (System.nanoTime() - since) / 1_000_000;
            boolean old = version < 2 && age > VERSION_MILLIS;
            begun.incrementAndGet();
            if (old) stale.incrementAndGet();
            record.line("%s begins on version %d of %s, whose version 2 was acknowledged %d ms before%s", id, version, adapter,
                age, old ? ": OLD" : "");
        };
        for (int i = 1; i <= 3; i++) {
            new Engine("127.0.0.1", "i-" + i, "zone-a", "models", store, record, a -> announced.containsKey(a) ? 2 : 1, begin);
        }
        Daemon daemon = new Daemon(root, temporary, "frontend-1", "zone-a", "127.0.0.1", store.address());
        try {
            daemon.start();
            daemon.awaitReady(30_000);
            record.line("the daemon is ready");
            // Its rights to order the replicas need a few seconds.
            Thread.sleep(12_000);
            record.line("a request before: %s", request(daemon, record, "before-1", "a1"));
            Collections.shuffle(adapters, new Random(Long.getLong("seed", 1)));
            Thread operator = new Thread(() -> announceAll(store, adapters, record), "operator");
            operator.setDaemon(true);
            operator.start();
            Thread.sleep(2_000);
            if (trouble) {
                record.line("SIGKILL to the daemon");
                daemon.signal("KILL");
                daemon.process.waitFor();
                daemon.start();
                daemon.awaitReady(30_000);
                record.line("the daemon is ready again");
            }
            operator.join();
            // In touch again, and past version_ms after the last acknowledgement.
            Thread.sleep(VERSION_MILLIS + 500);
            // Callers ask for adapters that were announced while the daemon was away or just back, 15 s long.
            ExecutorService callers = Executors.newFixedThreadPool(12);
            List<String> asked = adapters.subList(2 * PER_SECOND, 5 * PER_SECOND);
            long until = System.nanoTime() + 15_000_000_000L;
            for (String adapter : asked) {
                callers.submit(() -> {
                    if (System.nanoTime() < until) request(daemon, record, "r-" + adapter, adapter);
                });
            }
            callers.shutdown();
            callers.awaitTermination(20, TimeUnit.SECONDS);
        } finally {
            daemon.stop();
        }
        record.line("%d requests began, %d of them on a version older than one acknowledged over %d ms before", begun.get(),
            stale.get(), VERSION_MILLIS);
        if (begun.get() < 20) return 2;
        return stale.get() > 0 ? 1 : 0;
    }

    private static void announceAll(Store store, List<String> adapters, Record record) {
        record.line("operator: announces version 2 of %d adapters, %d a second", adapters.size(), PER_SECOND);
        long start = System.nanoTime();
        for (int i = 0; i < adapters.size(); i++) {
            long due = start + i * 1_000_000_000L / PER_SECOND;
            while (System.nanoTime() < due) {
                try {
                    Thread.sleep(1);
                } catch (InterruptedException e) {
                    return;
                }
            }
            announce(store, adapters.get(i), 2);
            announced.put(adapters.get(i), System.nanoTime());
            record.line("operator: version 2 of %s acknowledged", adapters.get(i));
            if (Integer.getInteger("announcements", 1_000) == i + 1) break;
        }
        record.line("operator: done");
    }

    private static void announce(Store store, String adapter, int version) {
        store.put("versions", "m0." + adapter, "{\"model\":\"m0\",\"adapter\":\"" + adapter + "\",\"version\":" + version + "}");
    }

    private static String request(Daemon daemon, Record record, String id, String adapter) {
        String end;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(daemon.host, daemon.callers), 1_000);
            socket.setSoTimeout(13_000);
            Http.write(socket.getOutputStream(), "POST /drafts/new HTTP/1.1", "Host: site.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Model: m0/" + adapter + "\r\nX-Token-Counts: 200,32\r\nX-Deadline-Ms: 12000\r\nApi-Key: key-1\r\n",
                new byte[400]);
            record.line("%s sent for %s", id, adapter);
            Http.Message answer = Http.read(socket.getInputStream(), true);
            end = answer == null ? "closed" : answer.status() + (answer.whole ? "" : " cut");
        } catch (IOException e) {
            end = "closed: " + e.getMessage();
        }
        record.line("%s ends: %s", id, end);
        return end;
    }
}
