import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, in the order in which it was seen. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startedNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String text) {
        out.printf("%8d ms %s%n", (System.nanoTime() - startedNanos) / 1_000_000, text);
    }

    /** Writes [text] to the record and to standard output. */
    void result(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
