import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
    /** The first line and the headers of a message; header names are in lower case. */
    record Head(String firstLine, Map<String, String> headers) {
        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String path() {
            return firstLine.split(" ")[1];
        }
    }

    /** A message with its whole body. */
    record Message(Head head, byte[] body) {}

    /** Returns null if the connection has ended before the first byte. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("ended within a head");
            if (line.isEmpty()) return new Head(first, headers);
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
    }

    /** Returns null if the connection has ended before the first byte. */
    static Message readMessage(InputStream in) throws IOException {
        Head head = readHead(in);
        if (head == null) return null;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(head.headers.get("transfer-encoding"))) {
            while (true) {
                String line = readLine(in);
                if (line == null) throw new EOFException("ended within a body");
                int size = Integer.parseInt(line.split(";")[0].trim(), 16);
                body.write(readExactly(in, size));
                readLine(in);
                if (size == 0) return new Message(head, body.toByteArray());
            }
        }
        int length = Integer.parseInt(head.headers.getOrDefault("content-length", "0"));
        return new Message(head, readExactly(in, length));
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("ended within a body");
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("ended within a line");
            }
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
