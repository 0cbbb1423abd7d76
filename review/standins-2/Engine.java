import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An engine: answers its health path, and leaves other requests to its handler. */
final class Engine implements AutoCloseable {
    /** Answers one request. Returns whether the connection is kept. */
    interface Handler {
        boolean handle(Engine engine, Http.Message request, Socket socket) throws IOException;
    }

    final String id;
    private final ServerSocket listener;
    private final Handler handler;
    private volatile long coldUntilMs;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Engine(String id, String host, int port, Handler handler) throws IOException {
        this.id = id;
        this.handler = handler;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new java.net.InetSocketAddress(host, port), 1_024);
        thread(this::accept);
    }

    String address() {
        InetAddress address = listener.getInetAddress();
        return address.getHostAddress() + ":" + listener.getLocalPort();
    }

    int port() {
        return listener.getLocalPort();
    }

    /** The engine is cold for [forMs], as its health answers and its entries say. */
    void becomeCold(long forMs) {
        coldUntilMs = System.currentTimeMillis() + forMs;
    }

    long coldLeftMs() {
        return Math.max(0, coldUntilMs - System.currentTimeMillis());
    }

    /** The entry that the engine writes to the store. */
    String entry(String service, String zone, String version, long bornMs, int slots) {
        return entry(service, zone, version, bornMs, slots, 0, 1);
    }

    String entry(String service, String zone, String version, long bornMs, int slots, long coldLeftMs, int seq) {
        return "{\"Service\":\"" + service + "\",\"Address\":\"" + address() + "\",\"Zone\":\"" + zone
            + "\",\"Version\":\"" + version + "\",\"Slots\":" + slots + ",\"State\":\"ready\",\"ColdLeftMs\":" + coldLeftMs
            + ",\"Seq\":" + seq + ",\"born\":" + bornMs + "}";
    }

    /** Sends a complete answer with the headers that an engine sets. */
    void answer(OutputStream out, Http.Message request, String status, String extraHeaders, byte[] body)
        throws IOException {
        String head = "HTTP/1.1 " + status + "\r\nX-Pomeloladder-Request-Id: "
            + request.head().headers().get("x-pomeloladder-request-id") + "\r\n" + extraHeaders
            + "Keep-Alive: timeout=20\r\nContent-Length: " + body.length + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        out.flush();
    }

    @Override
    public void close() {
        try {
            listener.close();
            for (Socket socket : sockets) socket.close();
        } catch (IOException e) {
            // The process ends anyway.
        }
    }

    /** Ends as a crash does: no more connections, and the open ones are reset. */
    void crash() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                thread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Message request = Http.readMessage(in);
                if (request == null) return;
                if (!answerHere(request, socket) && !handler.handle(this, request, socket)) return;
            }
        } catch (IOException e) {
            // The caller has gone, or the engine has crashed.
        } finally {
            sockets.remove(socket);
        }
    }

    /** Answers health checks, and requests that are meant for another engine. */
    private boolean answerHere(Http.Message request, Socket socket) throws IOException {
        OutputStream out = socket.getOutputStream();
        if (request.head().path().equals("/healthz")) {
            String head = "HTTP/1.1 200 OK\r\nX-Pomeloladder-Instance-Id: " + id
                + "\r\nX-Pomeloladder-Server-Load: 0,0,64\r\n"
                + (coldLeftMs() > 0 ? "X-Pomeloladder-Cold-Ms: " + coldLeftMs() + "\r\n" : "") + "Content-Length: 0\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            return true;
        }
        String expected = request.head().headers().get("x-pomeloladder-expect-instance");
        if (expected == null || expected.equals(id)) return false;
        answer(out, request, "421 Misdirected Request", "X-Pomeloladder-Instance-Id: " + id + "\r\n", new byte[0]);
        return true;
    }

    static Thread thread(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 * 1_024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
