import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * An instance as a process of its own. It answers without a length, in pieces, and ends with the connection. A line
 * "drain" on its input has it leave: it reports that, takes part in nothing new, ends what it runs, and exits.
 */
final class InstanceProcess {
    static final int PIECES = 40;
    static final int PIECE_BYTES = 5_000;
    static final int PIECE_GAP_MILLIS = 100;

    public static void main(String[] args) throws Exception {
        String[] control = args[4].split(":");
        Record record = new Record(Path.of(args[5]));
        Instance instance = new Instance(args[0], args[1], args[2], args[3], 12,
                new InetSocketAddress(control[0], Integer.parseInt(control[1])), InstanceProcess::answer, record);
        System.out.println(instance.address());
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.equals("drain")) {
                System.out.println("drain " + instance.drain());
            } else if (line.equals("exit")) {
                System.exit(0);
            }
        }
        // The test has ended.
        System.exit(0);
    }

    /** The byte at a place of the answer to a request. */
    static byte[] whole(String request) {
        byte[] body = new byte[PIECES * PIECE_BYTES];
        byte[] seed = request.getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) (seed[i % seed.length] + i / 251);
        }
        return body;
    }

    private static boolean answer(Instance.Run run, Http.Head head, byte[] body, OutputStream out)
            throws IOException, InterruptedException {
        byte[] whole = whole(run.request);
        out.write(Instance.head(run, "Connection: close\r\n"));
        for (int i = 0; i < PIECES; i++) {
            out.write(whole, i * PIECE_BYTES, PIECE_BYTES);
            out.flush();
            Thread.sleep(PIECE_GAP_MILLIS);
        }
        run.end = "answered 200, " + whole.length + " bytes";
        return false;
    }
}
