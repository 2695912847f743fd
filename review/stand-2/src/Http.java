import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Http {
    private Http() {}

    /** One message: its first line, its headers (names in lower case) and its body. */
    static final class Message {
        String start;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        /** False if the connection ended or failed before the end that the framing states. */
        boolean whole;

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }
    }

    /** Reads a message; null if the connection ends before its first byte. */
    static Message read(InputStream in, boolean answer) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        readBody(in, message, answer);
        return message;
    }

    static Message readHead(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) return null;
        Message message = new Message();
        message.start = line;
        while (true) {
            line = line(in);
            if (line == null) throw new IOException("the connection ended inside a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    static void readBody(InputStream in, Message message, boolean answer) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String length = message.header("content-length");
        String coding = message.header("transfer-encoding");
        try {
            if (coding != null) {
                while (true) {
                    String size = line(in);
                    if (size == null) break;
                    int n = Integer.parseInt(size.split(";")[0].trim(), 16);
                    if (n == 0) {
                        String end = line(in);
                        message.whole = end != null;
                        break;
                    }
                    byte[] chunk = in.readNBytes(n);
                    out.write(chunk);
                    if (chunk.length < n || line(in) == null) break;
                }
            } else if (length != null) {
                int n = Integer.parseInt(length);
                byte[] bytes = in.readNBytes(n);
                out.write(bytes);
                message.whole = bytes.length == n;
            } else if (answer && message.status() != 204 && message.status() != 304) {
                out.write(in.readAllBytes());
                message.whole = true;
            } else {
                message.whole = true;
            }
        } finally {
            message.body = out.toByteArray();
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (out.size() == 0) return null;
                throw new IOException("the connection ended inside a line");
            }
            if (b == '\n') break;
            out.write(b);
        }
        String text = out.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    static void write(OutputStream out, String start, String headers, byte[] body) throws IOException {
        byte[] head = (start + "\r\n" + headers + "content-length: " + body.length + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        out.write(all);
        out.flush();
    }
}
