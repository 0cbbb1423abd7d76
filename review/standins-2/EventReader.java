import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads the events of a stream in a chunked body. */
final class EventReader {
    private final InputStream in;
    private final StringBuilder text = new StringBuilder();

    EventReader(InputStream in) {
        this.in = in;
    }

    /** Returns the next event, or null at the end of the body. Throws if the body is cut off. */
    String next() throws IOException {
        while (true) {
            int end = text.indexOf("\n\n");
            if (end >= 0) {
                String event = text.substring(0, end);
                text.delete(0, end + 2);
                return event;
            }
            int size = Integer.parseInt(line().trim(), 16);
            byte[] bytes = in.readNBytes(size);
            if (bytes.length < size) throw new EOFException("cut off");
            line();
            if (size == 0) return null;
            text.append(new String(bytes, StandardCharsets.ISO_8859_1));
        }
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) throw new EOFException("cut off");
            if (next != '\r') line.append((char) next);
        }
        return line.toString();
    }
}
