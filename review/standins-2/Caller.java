import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's kept connection. */
final class Caller implements AutoCloseable {
    private final Socket socket = new Socket();
    private final BufferedInputStream in;

    Caller(String host, int port) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(host, port), 1_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request and reads its whole answer. Returns null if the connection has ended without one. */
    Http.Message call(String method, String path, String id, long deadlineMs, String extraHeaders, byte[] body)
        throws IOException {
        send(method, path, id, deadlineMs, extraHeaders, body);
        socket.setSoTimeout((int) deadlineMs);
        return Http.readMessage(in);
    }

    void send(String method, String path, String id, long deadlineMs, String extraHeaders, byte[] body)
        throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Pomeloladder-Request-Id: " + id
            + "\r\nX-Pomeloladder-Deadline-Ms: " + deadlineMs + "\r\n" + extraHeaders + "Content-Length: "
            + body.length + "\r\n\r\n";
        OutputStream out = socket.getOutputStream();
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    BufferedInputStream in() {
        return in;
    }

    Socket socket() {
        return socket;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
