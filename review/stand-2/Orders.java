import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A caller of the route `/orders/`, whose requests run once at most, and the rule about its time-out. */
final class Orders {
    private static final int TIMEOUT_MILLIS = 1_500;
    private static final int DEADLINE_MILLIS = 3_000;

    private Orders() {}

    /** Sends one request; returns the milliseconds from its last byte to its final answer, or -1 without one. */
    static long send(Daemon daemon, Record record, String id, int bytes) {
        long millis = -1;
        String end;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(daemon.host, daemon.callers), 1_000);
            socket.setSoTimeout(DEADLINE_MILLIS);
            Http.write(socket.getOutputStream(), "POST /orders/new HTTP/1.1", "Host: site.example\r\nX-Attempt-Id: " + id
                + "\r\nX-Deadline-Ms: " + DEADLINE_MILLIS + "\r\nApi-Key: key-1\r\n", new byte[bytes]);
            long sent = System.nanoTime();
            record.line("%s sent (%d bytes)", id, bytes);
            Http.Message answer = Http.read(socket.getInputStream(), true);
            end = answer == null ? "closed without an answer" : answer.status() + (answer.whole ? "" : ", cut");
            millis = (System.nanoTime() - sent) / 1_000_000;
        } catch (java.net.SocketTimeoutException e) {
            end = "no answer by its deadline";
        } catch (IOException e) {
            // A connection that fails is a final end too.
            end = "failed: " + e.getMessage();
            millis = 0;
        }
        record.line("%s ends after %d ms: %s", id, millis, end);
        return millis;
    }

    /** Returns 1 if the rule CONFIG was broken, else 0. */
    static int judge(Record record, Map<String, Long> ends, Map<String, AtomicInteger> runs) {
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
        record.line("%d requests; %d lasted longer than timeoutMs (%d ms); %d of these had no final answer 500 ms after it, %d of which had run",
            ends.size(), longer, TIMEOUT_MILLIS, unanswered, ran);
        return unanswered >= 8 && unanswered * 4 > longer ? 1 : 0;
    }
}
