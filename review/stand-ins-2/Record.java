import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the seconds since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void write(String line) {
        out.printf("%8.3f %s%n", (System.nanoTime() - startedAt) / 1e9, line);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
