package org.berylwick.pgm;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Runs command lines in this process and keeps what they print. */
final class CommandRunner {
    private CommandRunner() {}

    /**
     * What a command line did.
     *
     * @param status its exit status
     * @param out what it printed as results
     * @param err what it printed as errors and progress
     */
    record Ran(int status, String out, String err) {
        /** Everything, for failure messages. */
        String all() {
            return "status " + status + "\n" + out + err;
        }
    }

    static Ran run(String address, String... arguments) {
        return run(Map.of("BERYLWICK_ADMIN", address), arguments);
    }

    static Ran run(Map<String, String> environment, String... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int status = Main.run(
                arguments,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8),
                environment);
        return new Ran(status, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }
}
