import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers that send bodies of the allowed size at the same time, beside callers with small requests. */
public final class LargeBodies {
    // maxBodyBytes of the configuration; the heads of these requests are far below maxHeaderBytes.
    private static final int MAX_BODY = 4_194_304;
    private static final int CALLERS = Integer.getInteger("callers", 12);

    public static void main(String[] args) {
        Case.run(args, LargeBodies::play);
    }

    private static int play(Path root, Path temporary, Record record, boolean trouble) throws Exception {
        Store store = new Store("127.0.0.1");
        store.put("config", "main", Configs.orders());
        Map<String, AtomicInteger> runs = Replica.newRuns();
        for (int i = 1; i <= 3; i++) new Replica("127.0.0.1", "i-" + i, "orders", "zone-a", 86, store, record, runs);
        Daemon daemon = new Daemon(root, temporary, "frontend-1", "zone-a", "127.0.0.1", store.address());
        Map<String, Long> ends = new ConcurrentHashMap<>();
        try {
            daemon.start();
            daemon.awaitReady(30_000);
            record.line("the daemon is ready");
            Thread.sleep(1_000);
            Replica.start("ready", () -> daemon.pollReadiness(record));
            CountDownLatch done = new CountDownLatch(CALLERS + 1);
            // A caller of small requests, all the time.
            Replica.start("small", () -> {
                small(daemon, record, ends);
                done.countDown();
            });
            Thread.sleep(1_000);
            for (int i = 0; i < CALLERS; i++) {
                int number = i;
                Replica.start("large-" + i, () -> {
                    for (int j = 0; j < 4; j++) {
                        String id = String.format("large-%02d-%d", number, j);
                        ends.put(id, Orders.send(daemon, record, id, MAX_BODY - 1_024));
                    }
                    done.countDown();
                });
                // Without the disruption the same callers come one after the other.
                if (!trouble) Thread.sleep(900);
            }
            done.await();
        } finally {
            daemon.stop();
        }
        return Orders.judge(record, ends, runs);
    }

    private static void small(Daemon daemon, Record record, Map<String, Long> ends) {
        for (int i = 0; i < 120; i++) {
            String id = String.format("small-%03d", i);
            ends.put(id, Orders.send(daemon, record, id, 600));
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
