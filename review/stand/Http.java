import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from sockets. */
final class Http {
    /** A message; its body is empty if it was not read. */
    static final class Message {
        String first;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name);
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        boolean closes() {
            return "close".equalsIgnoreCase(header("connection"));
        }
    }

    private Http() {
    }

    /** Reads the head of a message; returns null if the connection ended before its first byte. */
    static Message head(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) return null;
        Message message = new Message();
        message.first = line;
        for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        if (line == null) throw new EOFException("the connection ended inside a head");
        return message;
    }

    /** Reads the body that the headers announce. */
    static byte[] body(Message message, InputStream in) throws IOException {
        if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            for (byte[] chunk = chunk(in); chunk.length > 0; chunk = chunk(in)) out.write(chunk);
            return out.toByteArray();
        }
        String length = message.header("content-length");
        return exactly(in, length == null ? 0 : Integer.parseInt(length));
    }

    /** Reads a chunk; the last one is empty. */
    static byte[] chunk(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) throw new EOFException("the connection ended before a chunk");
        byte[] chunk = exactly(in, Integer.parseInt(line.trim(), 16));
        if (!"".equals(line(in))) throw new EOFException("the connection ended inside a chunk");
        return chunk;
    }

    static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("got " + bytes.length + " of " + length + " bytes");
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        List<Byte> bytes = new ArrayList<>();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (bytes.isEmpty()) return null;
                throw new EOFException("the connection ended inside a line");
            }
            if (b != '\r') bytes.add((byte) b);
        }
        byte[] text = new byte[bytes.size()];
        for (int i = 0; i < text.length; i++) text[i] = bytes.get(i);
        return new String(text, StandardCharsets.ISO_8859_1);
    }

    static InputStream buffered(InputStream in) {
        return in instanceof BufferedInputStream ? in : new BufferedInputStream(in, 16 * 1024);
    }
}
