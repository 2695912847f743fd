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
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers that send the next requests on a connection before the answers to the ones before have arrived. */
public final class Pipelined {
    private static final int CALLERS = 20;
    private static final int REQUESTS = 400;

    public static void main(String[] args) {
        Case.run(args, Pipelined::play);
    }

    private static int play(Path root, Path temporary, Record record, boolean trouble) throws Exception {
        Store store = new Store("127.0.0.1");
        store.put("config", "main", Configs.orders());
        Map<String, AtomicInteger> runs = Replica.newRuns();
        for (int i = 1; i <= 3; i++) new Replica("127.0.0.1", "i-" + i, "orders", "zone-a", 15, store, record, runs);
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
                    call(daemon, record, number, trouble ? 4 : 1, foreign, answered);
                    done.countDown();
                });
            }
            done.await();
        } finally {
            daemon.stop();
        }
        record.line("%d answers, %d of them at the place of another request's answer", answered.get(), foreign.get());
        if (answered.get() < 100 && foreign.get() == 0) return 2;
        return foreign.get() > 0 ? 1 : 0;
    }

    private static void call(Daemon daemon, Record record, int number, int depth, AtomicInteger foreign, AtomicInteger answered) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(daemon.host, daemon.callers), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(5_000);
            ArrayBlockingQueue<String> waiting = new ArrayBlockingQueue<>(depth);
            Thread writer = new Thread(() -> write(socket.getInetAddress() == null ? null : socket, number, waiting, record));
            writer.setDaemon(true);
            writer.start();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (int i = 0; i < REQUESTS; i++) {
                Http.Message answer = Http.read(in, true);
                if (answer == null) {
                    record.line("caller %d: connection closed after %d answers", number, i);
                    return;
                }
                String id = answer.header("x-attempt-id");
                // The slot of the queue is free only after the answer.
                String expected = waiting.peek();
                waiting.poll();
                answered.incrementAndGet();
                if (!expected.equals(id)) {
                    foreign.incrementAndGet();
                    record.line("caller %d: the answer to %s is expected; %s for %s arrives, body '%s'", number, expected,
                        answer.status(), id, new String(answer.body, StandardCharsets.UTF_8));
                    return;
                }
            }
        } catch (IOException e) {
            record.line("caller %d: %s", number, e.getMessage());
        }
    }

    private static void write(Socket socket, int number, ArrayBlockingQueue<String> waiting, Record record) {
        try {
            OutputStream out = socket.getOutputStream();
            Random random = new Random(number);
            for (int i = 0; i < REQUESTS; i++) {
                String id = number + "-" + i;
                Thread.sleep(random.nextInt(36));
                waiting.put(id);
                record.line("%s sent", id);
                Http.write(out, "GET /records/" + id + " HTTP/1.1", "Host: site.example\r\nX-Attempt-Id: " + id
                    + "\r\nX-Deadline-Ms: 3000\r\nApi-Key: key-1\r\n", new byte[0]);
            }
        } catch (IOException | InterruptedException e) {
            // The reader has ended the connection.
        }
    }
}
