package org.berylwick.bench.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a process has used so far.
 *
 * @param cpu processor time of all its threads since it started
 * @param residentBytes of memory now, as Linux counts it
 */
public record ProcessUsage(Duration cpu, long residentBytes) {
    private static final Pattern RESIDENT = Pattern.compile("VmRSS:\\s+(\\d+) kB");
    private static final long BYTES_PER_KB = 1024;

    /** Reads the usage of a running process. */
    public static ProcessUsage of(Process process) {
        Duration cpu = process.toHandle().info().totalCpuDuration().orElse(Duration.ZERO);
        try {
            Matcher m = RESIDENT.matcher(Files.readString(Path.of("/proc/" + process.pid() + "/status")));
            return new ProcessUsage(cpu, m.find() ? Long.parseLong(m.group(1)) * BYTES_PER_KB : 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The processor time used since {@code earlier}. */
    public Duration cpuSince(ProcessUsage earlier) {
        return cpu.minus(earlier.cpu);
    }
}
