import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers that send the next requests on a connection before the answers to the ones before have arrived. */
public final class Pipelined {
    private static final int CALLERS = 20;
    private static final int REQUESTS = 300;
    private static final int OPEN_REQUESTS = 4;

    // The longest body of the site's sheet, and what fits into one packet of it.
    private static final int BODY_BYTES = 17_000;
    private static final int PACKET_BYTES = 1_400;

    public static void main(String[] args) {
        Case.run(args, Pipelined::play);
    }

    private static int play(Path root, Path temporary, Record record, boolean trouble) throws Exception {
        Store store = new Store("127.0.0.1");
        store.put("config", "main", Configs.orders());
        Map<String, AtomicInteger> runs = Replica.newRuns();
        AtomicInteger changed = new AtomicInteger();
        Replica.Run check = request -> checkBody(request, record, changed);
        for (int i = 1; i <= 3; i++) new Replica("127.0.0.1", "i-" + i, "orders", "zone-a", 15, store, record, runs, check);
        Daemon daemon = new Daemon(root, temporary, "frontend-1", "zone-a", "127.0.0.1", store.address());
        AtomicInteger foreign = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        try {
            daemon.start();
            daemon.awaitReady(30_000);
            record.line("the daemon is ready");
            CountDownLatch done = new CountDownLatch(CALLERS);
            for (int i = 0; i < CALLERS; i++) {
                int number = i;
                Replica.start("caller-" + i, () -> {
                    // Without the disruption a caller waits for each answer before it sends the next request.
                    call(daemon, record, number, trouble ? OPEN_REQUESTS : 1, foreign, answered);
                    done.countDown();
                });
            }
            done.await();
        } finally {
            daemon.stop();
        }
        record.line("%d answers; MIXED: %d connections got another request's answer; UNASKED: %d requests ran with a changed body",
            answered.get(), foreign.get(), changed.get());
        if (foreign.get() + changed.get() > 0) return 1;
        return answered.get() < 1_000 ? 2 : 0;
    }

    private static void call(Daemon daemon, Record record, int number, int depth, AtomicInteger foreign, AtomicInteger answered) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(daemon.host, daemon.callers), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(5_000);
            Semaphore places = new Semaphore(depth);
            BlockingQueue<String> sent = new LinkedBlockingQueue<>();
            Replica.start("writer-" + number, () -> write(socket, number, places, sent, record));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            boolean wrong = false;
            for (int i = 0; i < REQUESTS; i++) {
                Http.Message answer = Http.read(in, true);
                if (answer == null) {
                    record.line("caller %d: connection closed after %d answers", number, i);
                    return;
                }
                String id = answer.header("x-attempt-id");
                String expected = sent.take();
                places.release();
                answered.incrementAndGet();
                record.line("%s is answered: %d for %s", expected, answer.status(), id);
                if (expected.equals(id)) continue;
                if (!wrong) foreign.incrementAndGet();
                wrong = true;
                record.line("MIXED: caller %d expects the answer to %s and gets %d for %s, body '%s'", number, expected,
                    answer.status(), id, new String(answer.body, StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            record.line("caller %d: %s", number, e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Callers with an even number send requests without a body, the others the longest one of the sheet.
    private static void write(Socket socket, int number, Semaphore places, BlockingQueue<String> sent, Record record) {
        Random random = new Random(number);
        try {
            OutputStream out = socket.getOutputStream();
            for (int i = 0; i < REQUESTS; i++) {
                places.acquire();
                Thread.sleep(random.nextInt(36));
                String id = number + "-" + i;
                byte[] body = new byte[number % 2 == 0 ? 0 : BODY_BYTES];
                Arrays.fill(body, (byte) id.hashCode());
                sent.add(id);
                out.write(((body.length == 0 ? "GET" : "POST") + " /records/" + id + " HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: "
                    + id + "\r\nX-Deadline-Ms: 3000\r\nApi-Key: key-1\r\nX-Body: " + body.length + "," + (byte) id.hashCode()
                    + "\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                for (int start = 0; start < body.length; start += PACKET_BYTES) {
                    out.write(body, start, Math.min(PACKET_BYTES, body.length - start));
                    if (start % (4 * PACKET_BYTES) == 0) Thread.sleep(1);
                }
                record.line("%s sent (%d bytes)", id, body.length);
            }
        } catch (IOException | InterruptedException e) {
            // The reader has ended the connection.
        }
    }

    private static void checkBody(Http.Message request, Record record, AtomicInteger changed) {
        String[] sent = request.header("x-body").split(",");
        boolean same = request.body.length == Integer.parseInt(sent[0]);
        for (byte value : request.body) same &= value == Byte.parseByte(sent[1]);
        if (same) return;
        changed.incrementAndGet();
        record.line("UNASKED: %s runs with a body of %d bytes that begins with %d; its client sent %s bytes, all %s",
            request.header("x-attempt-id"), request.body.length, request.body.length == 0 ? 0 : request.body[0], sent[0], sent[1]);
    }
}
