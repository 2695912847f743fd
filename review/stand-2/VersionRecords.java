import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** The operator has announced versions of many adapters; nothing else happens. */
public final class VersionRecords {
    private static final int ADAPTERS = Integer.getInteger("adapters", 14_000);

    private static final int SECONDS = 50;
    private static final int PER_SECOND = 20;

    public static void main(String[] args) {
        Case.run(args, VersionRecords::play);
    }

    private static int play(Path root, Path temporary, Record record, boolean trouble) throws Exception {
        Store store = new Store("127.0.0.1");
        store.put("config", "main", Configs.orders());
        for (int i = 1; i <= (trouble ? ADAPTERS : 10); i++) {
            store.put("versions", "m0.a" + i, "{\"model\":\"m0\",\"adapter\":\"a" + i + "\",\"version\":1}");
        }
        Map<String, AtomicInteger> runs = Replica.newRuns();
        for (int i = 1; i <= 3; i++) new Replica("127.0.0.1", "i-" + i, "orders", "zone-a", 43, store, record, runs);
        store.lists = (kind, after) -> {
            if (kind.equals("versions")) record.line("store: a page of versions is read, after '%s'", after);
        };
        Daemon daemon = new Daemon(root, temporary, "frontend-1", "zone-a", "127.0.0.1", store.address());
        Map<String, Long> ends = new ConcurrentHashMap<>();
        try {
            daemon.start();
            daemon.awaitReady(60_000);
            record.line("the daemon is ready");
            Thread.sleep(4_000);
            ExecutorService callers = Executors.newCachedThreadPool();
            Replica.start("ready", () -> daemon.pollReadiness(record));
            long start = System.nanoTime();
            for (int i = 0; i < SECONDS * PER_SECOND; i++) {
                long due = start + i * 1_000_000_000L / PER_SECOND;
                while (System.nanoTime() < due) Thread.sleep(1);
                String id = "o-" + i;
                callers.submit(() -> ends.put(id, Orders.send(daemon, record, id, 600)));
            }
            callers.shutdown();
            callers.awaitTermination(20, TimeUnit.SECONDS);
        } finally {
            daemon.stop();
        }
        return Orders.judge(record, ends, runs);
    }
}
