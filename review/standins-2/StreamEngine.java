import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Answers streams of numbered events. Each event names the version of the software that wrote it. */
final class StreamEngine implements Engine.Handler {
    static final int EVENTS = 40;
    private static final int EVENT_GAP_MS = 60;

    private final String version;

    StreamEngine(String version) {
        this.version = version;
    }

    @Override
    public boolean handle(Engine engine, Http.Message request, Socket socket) throws IOException {
        String id = request.head().headers().get("x-pomeloladder-request-id");
        int last = Integer.parseInt(request.head().headers().getOrDefault("last-event-id", "0"));
        OutputStream out = socket.getOutputStream();
        String head = "HTTP/1.1 200 OK\r\nX-Pomeloladder-Request-Id: " + id + "\r\nX-Pomeloladder-Server-Stamp: s."
            + engine.id + "." + version + "\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=20\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        for (int event = last + 1; event <= EVENTS; event++) {
            try {
                Thread.sleep(EVENT_GAP_MS);
            } catch (InterruptedException e) {
                return false;
            }
            String text = "id: " + event + "\ndata: " + version + "\n\n";
            out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        return true;
    }
}
