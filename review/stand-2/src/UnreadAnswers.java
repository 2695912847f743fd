import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers on slow links read the answers to their records slowly; other callers place short orders. */
public final class UnreadAnswers {
    private static final int SLOW_CALLERS = Integer.getInteger("callers", 16);
    private static final int RECORDS = Integer.getInteger("records", 32);
    private static final int RECORD_BYTES = 250_000;

    // 200 kB a second, 1.6 Mbit/s for each slow caller.
    private static final int READ_BYTES = 10_000;
    private static final int READ_MILLIS = 50;

    private static final int ORDERS_PER_SECOND = 20;
    private static final int SECONDS = 15;
    private static final int TIMEOUT_MILLIS = 1_500;
    private static final int DEADLINE_MILLIS = 3_000;

    public static void main(String[] args) {
        Case.run(args, UnreadAnswers::play);
    }

    private static int play(Path root, Path temporary, Record record, boolean trouble) throws Exception {
        Store store = new Store("127.0.0.1");
        store.put("config", "main", Configs.orders());
        Map<String, AtomicInteger> runs = Replica.newRuns();
        for (int i = 1; i <= 3; i++) {
            Replica replica = new Replica("127.0.0.1", "i-" + i, "orders", "zone-a", 20, store, record, runs, request -> { });
            replica.answerBytes = request -> request.target().startsWith("/records/") ? RECORD_BYTES : 20;
        }
        Daemon daemon = new Daemon(root, temporary, "frontend-1", "zone-a", "127.0.0.1", store.address());
        Map<String, Long> ends = new ConcurrentHashMap<>();
        try {
            daemon.start();
            daemon.awaitReady(30_000);
            record.line("the daemon is ready");
            Replica.start("ready", () -> pollReadiness(daemon, record));
            ExecutorService callers = Executors.newCachedThreadPool();
            long start = System.nanoTime();
            for (int i = 0; i < SECONDS * ORDERS_PER_SECOND; i++) {
                long due = start + i * 1_000_000_000L / ORDERS_PER_SECOND;
                while (System.nanoTime() < due) Thread.sleep(1);
                if (i == 2 * ORDERS_PER_SECOND) {
                    // Without the disruption the same callers read what arrives at once.
                    for (int j = 0; j < SLOW_CALLERS; j++) {
                        int number = j;
                        Replica.start("slow-" + j, () -> readRecords(daemon, record, number, trouble ? READ_MILLIS : 0));
                    }
                }
                String id = "o-" + i;
                callers.submit(() -> ends.put(id, order(daemon, record, id)));
            }
            callers.shutdown();
            callers.awaitTermination(10, TimeUnit.SECONDS);
        } finally {
            daemon.stop();
        }
        return judge(record, ends, runs);
    }

    private static int judge(Record record, Map<String, Long> ends, Map<String, AtomicInteger> runs) {
        int longer = 0;
        int unanswered = 0;
        int ran = 0;
        for (Map.Entry<String, Long> end : ends.entrySet()) {
            long millis = end.getValue();
            if (millis < 0 || millis > TIMEOUT_MILLIS) longer++;
            if (millis < 0 || millis > TIMEOUT_MILLIS + 500) {
                unanswered++;
                if (runs.containsKey(end.getKey())) ran++;
            }
        }
        record.line("%d orders; %d lasted longer than timeoutMs (%d ms); %d of these had no final answer 500 ms after it, %d of which had run",
            ends.size(), longer, TIMEOUT_MILLIS, unanswered, ran);
        if (ends.size() < SECONDS * ORDERS_PER_SECOND / 2) return 2;
        return unanswered >= 8 && unanswered * 4 > longer ? 1 : 0;
    }

    private static void readRecords(Daemon daemon, Record record, int number, int pauseMillis) {
        long bytes = 0;
        try (Socket socket = new Socket()) {
            // A small window, as on a slow link.
            socket.setReceiveBufferSize(4_096);
            socket.connect(new InetSocketAddress(daemon.host, daemon.callers), 1_000);
            socket.setSoTimeout(20_000);
            OutputStream out = socket.getOutputStream();
            for (int i = 0; i < RECORDS; i++) {
                out.write(("GET /records/" + number + "-" + i + " HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: s" + number + "-" + i
                    + "\r\nX-Deadline-Ms: 60000\r\nApi-Key: key-1\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            }
            record.line("slow caller %d has asked for %d records", number, RECORDS);
            InputStream in = socket.getInputStream();
            byte[] part = new byte[READ_BYTES];
            for (int n = in.read(part); n >= 0 && bytes < (long) RECORDS * RECORD_BYTES; n = in.read(part)) {
                bytes += n;
                if (pauseMillis > 0) Thread.sleep(pauseMillis);
            }
        } catch (IOException | InterruptedException e) {
            record.line("slow caller %d: %s", number, e.getMessage());
        }
        record.line("slow caller %d has read %d bytes", number, bytes);
    }

    /** Places one order; returns the milliseconds until its final answer, or -1 without one. */
    private static long order(Daemon daemon, Record record, String id) {
        long millis = -1;
        String end;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(daemon.host, daemon.callers), 1_000);
            socket.setSoTimeout(DEADLINE_MILLIS);
            Http.write(socket.getOutputStream(), "POST /orders/new HTTP/1.1", "Host: site.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Ms: " + DEADLINE_MILLIS + "\r\nApi-Key: key-1\r\n", new byte[600]);
            long sent = System.nanoTime();
            Http.Message answer = Http.read(socket.getInputStream(), true);
            end = answer == null ? "closed without an answer" : answer.status() + (answer.whole ? "" : ", cut");
            millis = (System.nanoTime() - sent) / 1_000_000;
        } catch (SocketTimeoutException e) {
            end = "no answer by its deadline";
        } catch (IOException e) {
            // A connection that fails is a final end too.
            end = "failed: " + e.getMessage();
            millis = 0;
        }
        record.line("%s ends after %d ms: %s", id, millis, end);
        return millis;
    }

    // As the platform does: once a second.
    private static void pollReadiness(Daemon daemon, Record record) {
        try {
            while (daemon.process.isAlive()) {
                int status = daemon.ready();
                if (status != 200) record.line("readiness: %s", status == 0 ? "no answer within a second" : status);
                Thread.sleep(1_000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
