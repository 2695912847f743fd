import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A caller's connection, kept for many requests. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final InputStream in;

    Client(int port, int timeoutMillis, int receiveBuffer) throws IOException {
        if (receiveBuffer > 0) socket.setReceiveBufferSize(receiveBuffer);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        in = Http.buffered(socket.getInputStream());
    }

    void send(String method, String target, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: " + Config.HOST + "\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body != null) head.append("Content-Length: ").append(body.length).append("\r\n");
        byte[] bytes = head.append("\r\n").toString().getBytes(StandardCharsets.US_ASCII);
        byte[] all = java.util.Arrays.copyOf(bytes, bytes.length + (body == null ? 0 : body.length));
        if (body != null) System.arraycopy(body, 0, all, bytes.length, body.length);
        socket.getOutputStream().write(all);
        socket.getOutputStream().flush();
    }

    /** Reads a whole answer. */
    Http.Message read() throws IOException {
        Http.Message answer = Http.head(in);
        if (answer == null) throw new java.io.EOFException("the connection was closed without an answer");
        answer.body = Http.body(answer, in);
        return answer;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
