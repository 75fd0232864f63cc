package org.berylwick.testing;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.berylwick.bench.fleet.ChildProcess;
import org.berylwick.lib.HostPort;

/** A daemon as a process of its own, which a test can kill. */
public final class DaemonProcess implements AutoCloseable {
    private static final Pattern LISTENING = Pattern.compile("listening callers=(\\S+) peers=\\S+ admin=([^\\s\"]+)");
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final String SETTINGS = """
            instance = "%s"
            region = "ncr"
            availability_zone = "makati"

            [listen]
            callers = "127.0.0.1:0"
            peers = "127.0.0.1:0"
            admin = "127.0.0.1:0"

            [backend_server]
            service = "%s"
            address = "%s"

            [platform]
            uri = "http://%s"
            """;

    private final ChildProcess process;

    private DaemonProcess(ChildProcess process) {
        this.process = process;
    }

    /**
     * Starts a daemon.
     *
     * @param directory holds its settings
     * @param instance its name
     * @param service service of its backend server
     * @param backend address of its backend server
     * @param platform address of the platform's store
     */
    public static DaemonProcess start(
            Path directory, String instance, String service, HostPort backend, HostPort platform) throws IOException {
        Path settings = directory.resolve(instance + ".toml");
        Files.writeString(settings, SETTINGS.formatted(instance, service, backend, platform));
        List<String> command = List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+PerfDisableSharedMem",
                "-Xmx128m",
                "-cp",
                System.getProperty("java.class.path"),
                "org.berylwick.daemon.Main",
                "--settings",
                settings.toString());
        return new DaemonProcess(ChildProcess.start(instance, Map.of(), command));
    }

    private MatchResult awaitListening() {
        return process.awaitLine(LISTENING, START_TIMEOUT);
    }

    /** Waits until it listens; returns where it serves callers. */
    public String callersAddress() {
        return awaitListening().group(1);
    }

    /** Waits until it listens; returns where it serves operators. */
    public String adminAddress() {
        return awaitListening().group(2);
    }

    /** Ends it without a signal that it could handle. */
    public void kill() throws InterruptedException {
        process.process().destroyForcibly().waitFor();
    }

    @Override
    public void close() {
        process.process().destroyForcibly();
    }
}
