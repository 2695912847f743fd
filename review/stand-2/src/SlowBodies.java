import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** A daemon is stopped as planned while callers send the bodies of their requests slowly, within the limits. */
public final class SlowBodies {
    private static final int CALLERS = Integer.getInteger("callers", 80);
    private static final int GRACE_MILLIS = 8_000;
    private static final int TIMEOUT_MILLIS = 3_000;

    public static void main(String[] args) {
        Case.run(args, SlowBodies::play);
    }

    private static int play(Path root, Path temporary, Record record, boolean trouble) throws Exception {
        Store store = new Store("127.0.0.1");
        store.put("config", "main", Configs.orders(TIMEOUT_MILLIS));
        Map<String, AtomicInteger> runs = Replica.newRuns();
        int work = Integer.getInteger("work", 86);
        for (int i = 1; i <= 3; i++) {
            new Replica("127.0.0.1", "i-" + i, "orders", "zone-a", work, store, record, runs, request -> { });
        }
        Daemon daemon = new Daemon(root, temporary, "frontend-1", "zone-a", "127.0.0.1", store.address());
        Map<String, String> ends = new ConcurrentHashMap<>();
        try {
            daemon.start();
            daemon.awaitReady(30_000);
            record.line("the daemon is ready");
            long until = System.nanoTime() + 12_000_000_000L;
            CountDownLatch done = new CountDownLatch(CALLERS);
            for (int i = 0; i < CALLERS; i++) {
                int number = i;
                Replica.start("caller-" + i, () -> {
                    call(daemon, record, number, until, ends);
                    done.countDown();
                });
            }
            Thread.sleep(4_000);
            if (trouble) {
                record.line("SIGTERM to the daemon, graceS is %d s", GRACE_MILLIS / 1_000);
                daemon.signal("TERM");
                long start = System.nanoTime();
                daemon.process.waitFor();
                record.line("the daemon has ended %d ms after SIGTERM", (System.nanoTime() - start) / 1_000_000);
            }
            done.await();
        } finally {
            daemon.stop();
        }
        int lost = 0;
        for (Map.Entry<String, String> end : ends.entrySet()) {
            if (!runs.containsKey(end.getKey()) || end.getValue().startsWith("answer")) continue;
            lost++;
            record.line("LOST: %s ran, its whole body had been sent, and it ends: %s", end.getKey(), end.getValue());
        }
        record.line("%d requests, %d of them passed on and ended without a complete answer", ends.size(), lost);
        if (ends.size() < 20) return 2;
        return lost > 0 ? 1 : 0;
    }

    private static void call(Daemon daemon, Record record, int number, long until, Map<String, String> ends) {
        Random random = new Random(number);
        for (int i = 0; System.nanoTime() < until; i++) {
            String id = number + "-" + i;
            long start = System.nanoTime();
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(daemon.host, daemon.callers), 1_000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(3_000);
                OutputStream out = socket.getOutputStream();
                out.write(("POST /orders/new HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + id
                    + "\r\nX-Deadline-Ms: 3000\r\nApi-Key: key-1\r\nConnection: close\r\nContent-Length: 600\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
                // Six parts, at most 2.4 s in all; headerTimeoutMs, the route's timeoutMs and the deadline are 3,000.
                for (int part = 0; part < 6; part++) {
                    out.write(new byte[100]);
                    out.flush();
                    if (part < 5) Thread.sleep(200 + random.nextInt(280));
                }
                record.line("%s sent", id);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                Http.Message answer = Http.read(in, true);
                String end = answer == null ? "closed" : answer.whole ? "answer " + answer.status() : "cut";
                put(ends, record, id, start, end);
            } catch (IOException e) {
                put(ends, record, id, start, "failed: " + e.getMessage());
                try {
                    Thread.sleep(300);
                } catch (InterruptedException interrupted) {
                    return;
                }
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    // Requests that reach the route's time-out, counted from their first byte, are left out.
    private static void put(Map<String, String> ends, Record record, String id, long start, String end) {
        long millis = (System.nanoTime() - start) / 1_000_000;
        if (millis < TIMEOUT_MILLIS) ends.put(id, end);
        record.line("%s ends %d ms after its first byte: %s", id, millis, end);
    }
}
