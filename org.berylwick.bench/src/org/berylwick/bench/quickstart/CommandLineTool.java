package org.berylwick.bench.quickstart;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.berylwick.lib.HostPort;

/** Runs the operators' command line as a process and shows what it prints. */
final class CommandLineTool {
    private final Path program;
    private final HostPort admin;
    private final PrintStream out;

    CommandLineTool(Path top, HostPort admin, PrintStream out) {
        this.program = top.resolve("bin/berylwick");
        this.admin = admin;
        this.out = out;
    }

    /**
     * Runs one command.
     *
     * @throws IllegalStateException if it does not exit with 0
     */
    void run(String... command) throws IOException, InterruptedException {
        out.println("$ berylwick " + String.join(" ", command));
        List<String> line = new ArrayList<>(List.of(program.toString(), "--admin", admin.toString()));
        line.addAll(List.of(command));
        Process process = new ProcessBuilder(line).redirectErrorStream(true).start();
        String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        text.lines().forEach(l -> out.println("  " + l));
        int status = process.waitFor();
        if (status != 0) {
            throw new IllegalStateException("berylwick " + String.join(" ", command) + " exited " + status);
        }
    }
}
