import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** The store is silent for a while; seconds after it is stable again, a replica leaves as planned. */
final class SilentStore extends Case {
    private static final int SILENT_MILLIS = 4_500;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int DRAIN_MILLIS = 2_000;
    private static final int LINGER_MILLIS = 4_000;

    // When the store acknowledged that the replica is `draining`.
    private volatile long acknowledgedMillis = Long.MAX_VALUE;
    private final AtomicInteger late = new AtomicInteger();
    private volatile boolean over;

    private SilentStore(String[] args) throws Exception {
        super(args);
    }

    public static void main(String[] args) throws Exception {
        new SilentStore(args).play();
    }

    @Override
    boolean run() throws Exception {
        store.put("config", "main", Config.of(7));
        List<Daemon> daemons = new ArrayList<>();
        List<Replica> orders = new ArrayList<>();
        for (String zone : List.of("tartu-a", "tartu-b", "elva-c")) {
            for (int i = 1; i <= 3; i++) new Engine("m" + i + "-" + zone, zone, store, record).register(store);
            Replica replica = new Replica("o-" + zone, Config.PLAIN, zone, 6, record) {
                @Override
                void run(Http.Message request, Socket socket, OutputStream out) throws Exception {
                    long millis = record.millis() - acknowledgedMillis;
                    if (state.equals("draining") && millis > DRAIN_MILLIS) {
                        late.incrementAndGet();
                        record.line("%s reaches %s %d ms after that was acknowledged as draining",
                            request.header("x-attempt-id"), id, millis);
                    }
                    Thread.sleep(60);
                    super.run(request, socket, out);
                }
            };
            replica.register(store);
            orders.add(replica);
            daemons.add(daemon("frontend-" + zone + "-1", zone));
        }
        for (Daemon daemon : daemons) daemon.start();
        for (Daemon daemon : daemons) awaitReady(daemon);
        for (Daemon daemon : daemons) {
            for (int i = 0; i < 2; i++) order(daemon, daemon.name + "-o" + i);
            for (int i = 0; i < 3; i++) draft(daemon, daemon.name + "-d" + i, 300 * i);
        }
        Thread.sleep(10_000);
        if (trouble) {
            record.line("the store is silent");
            store.silent = true;
            Thread.sleep(SILENT_MILLIS);
            store.silent = false;
            record.line("the store is without disruption");
        } else {
            Thread.sleep(SILENT_MILLIS);
        }
        Thread.sleep(CONTACT_MILLIS + 1_000);
        Replica leaving = orders.get(1);
        leaving.state = "draining";
        store.put("servers", leaving.id, leaving.entry());
        acknowledgedMillis = record.millis();
        record.line("%s is draining, acknowledged", leaving.id);
        Thread.sleep(DRAIN_MILLIS + LINGER_MILLIS);
        store.remove("servers", leaving.id);
        leaving.close();
        record.line("%s has left", leaving.id);
        Thread.sleep(1_000);
        over = true;
        record.line("%d requests reached it later than drainMs after that was acknowledged", late.get());
        return late.get() > 0;
    }

    /** Files an order ten times a second. */
    private void order(Daemon daemon, String name) {
        Threads.start(name, () -> {
            for (int i = 0; !over; i++) {
                ask(daemon, name + "-" + i, "/orders/new", Map.of(), 600);
                Thread.sleep(100);
            }
        });
    }

    /** Asks for drafts with one adapter after the other, so that the replicas hold others all the time. */
    private void draft(Daemon daemon, String name, int first) {
        Threads.start(name, () -> {
            for (int i = 0; !over; i++) {
                String id = name + "-" + i;
                ask(daemon, id, "/drafts/new", Map.of("X-Model", Config.MODEL + "/a" + (first + 1 + i % 300), "X-Token-Counts",
                    "200,20", "X-Prompt-Prefix", "5c1e07a2:150," + Integer.toHexString(id.hashCode()) + ":50"), 2_900);
                Thread.sleep(50);
            }
        });
    }

    private void ask(Daemon daemon, String id, String target, Map<String, String> more, int bytes) {
        Map<String, String> headers = new java.util.TreeMap<>(more);
        headers.putAll(Map.of("X-Attempt-Id", id, "X-Deadline-Ms", "3000", "Api-Key", Config.KEY));
        try (Client client = new Client(daemon.callers, 3_500, 0)) {
            client.send("POST", target, headers, new byte[bytes]);
            record.line("%s answered %d", id, client.read().status());
        } catch (IOException e) {
            record.line("%s %s", id, e);
        }
    }
}
