package org.berylwick.bench.version;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.berylwick.api.ApplyCommand;
import org.berylwick.api.ApplyResult;
import org.berylwick.bench.Measurement;
import org.berylwick.internal.config.ConfigurationDiff;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.internal.version.VersionContent;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.internal.version.VersionRepository.AcceptedHead;
import org.berylwick.lib.AuditEntry;
import org.berylwick.lib.Brand;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Labels;
import org.berylwick.lib.ObjectChange;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.VersionId;
import org.berylwick.transport.MemoryStore;
import org.berylwick.transport.PlatformStore;

/**
 * Counts the store's calls for a change and for a repeat, and finds where a megabyte ends, in this process.
 *
 * <p>Calls and bytes are exact; milliseconds are this machine's.
 */
public final class VersionMeasurement implements Measurement {
    private static final int CHANGES = 100;
    private static final int MAX_BRANDS = 1 << 15;

    private final CallCount count = new CallCount();
    private VersionRepository repository;
    private InstalledVersion installed;

    @Override
    public String name() {
        return "versions";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("store calls of a change, size of versions, time to accept and install; no processes");
    }

    @Override
    public void run(Namespace options, PrintStream out) {
        for (int brands : new int[] {100, 1_000, 3_000}) {
            measureChanges(brands, out);
        }
        measureRepeat(out);
        out.println("brands_in_a_megabyte_added_at_once: " + mostBrands(this::addedAtOnce));
        out.println("brands_in_a_megabyte_added_before: " + mostBrands(this::addedBefore));
    }

    private void begin(int brands) {
        repository = new VersionRepository(new MemoryStore(TimeSource.SYSTEM, count));
        installed = new InstalledVersion(TimeSource.SYSTEM);
        StringBuilder text = new StringBuilder("""
                [[service]]
                name = "web"

                [[route]]
                name = "all"
                path = "/"
                service = "web"

                [[policy]]
                name = "default"
                """);
        for (int i = 0; i < brands; i++) {
            text.append(brand(i, "plain"));
        }
        apply("first", text.toString());
        install();
    }

    private static String brand(int number, String theme) {
        return """

                [[brand]]
                name = "brand-%1$d"
                hosts = ["brand-%1$d.example"]
                headers = { x-theme = "%2$s" }
                """.formatted(number, theme);
    }

    private ApplyResult.Accepted apply(String operationId, String text) {
        ApplyResult result = new ApplyCommand(repository, TimeSource.SYSTEM)
                .addDocument("change.toml", text)
                .setOperationId(operationId)
                .setKnownParts(installed.inForce().parts())
                .setInForce(installed.snapshot().id())
                .setDeadline(soon())
                .call();
        if (result instanceof ApplyResult.Accepted accepted) {
            return accepted;
        }
        throw new IllegalStateException(result.toString());
    }

    private static Deadline soon() {
        return Deadline.afterMillis(TimeSource.SYSTEM, 60_000);
    }

    private void install() {
        VersionContent content = ok(repository
                .readHead(soon())
                .map(AcceptedHead::id)
                .flatMap(id -> repository.read(id, installed.inForce().parts(), soon())));
        installed.install(content);
    }

    private static <T, E> T ok(Result<T, E> result) {
        return switch (result) {
            case Result.Ok<T, E>(T value) -> value;
            case Result.Err<T, E>(E error) -> throw new IllegalStateException(error.toString());
        };
    }

    private void measureChanges(int brands, PrintStream out) {
        begin(brands);
        int reads = 0;
        int writes = 0;
        long bytes = 0;
        long applyNanos = 0;
        long installNanos = 0;
        for (int i = 0; i < CHANGES; i++) {
            count.reset();
            long start = System.nanoTime();
            apply("op-" + i, brand(i % brands, "theme-" + i));
            long accepted = System.nanoTime();
            reads += count.reads();
            writes += count.writes();
            bytes += count.bytesWritten();
            install();
            applyNanos += accepted - start;
            installNanos += System.nanoTime() - accepted;
        }
        String suffix = "_" + brands + "_brands: ";
        out.println("store_reads_per_change" + suffix + (double) reads / CHANGES);
        out.println("store_writes_per_change" + suffix + (double) writes / CHANGES);
        out.println("store_bytes_written_per_change" + suffix + bytes / CHANGES);
        out.println("manifest_bytes" + suffix + installed.inForce().manifestBytes().length);
        out.println("accept_mean_us" + suffix + applyNanos / CHANGES / 1_000);
        out.println("read_and_install_mean_us" + suffix + installNanos / CHANGES / 1_000);
    }

    private void measureRepeat(PrintStream out) {
        begin(10);
        apply("repeated", brand(0, "first"));
        int passed = 0;
        for (int target : new int[] {0, 100, 500}) {
            for (; passed < target; passed++) {
                apply("other-" + passed, brand(1, "theme-" + passed));
            }
            count.reset();
            boolean recognised = apply("repeated", brand(0, "first")).repeatedOperation();
            out.println("store_reads_of_a_repeat_after_" + target + "_changes: " + count.reads());
            out.println("repeat_recognised_after_" + target + "_changes: " + recognised);
        }
    }

    private static int mostBrands(IntFunction<VersionContent> version) {
        int low = 1;
        int high = MAX_BRANDS;
        while (low + 1 < high) {
            int middle = (low + high) / 2;
            boolean fits = version.apply(middle).manifestBytes().length <= PlatformStore.MAX_VALUE_BYTES;
            low = fits ? middle : low;
            high = fits ? high : middle;
        }
        return low;
    }

    private static Configuration configuration(int brands, String theme) {
        TreeMap<String, Brand> all = new TreeMap<>();
        for (int i = 0; i < brands; i++) {
            String name = "brand-" + i;
            Map<String, String> headers = Map.of("x-theme", i == 0 ? theme : "plain");
            all.put(name, new Brand(name, List.of(name + ".example"), Labels.EMPTY, headers));
        }
        return new Configuration(all, new TreeMap<>(), new TreeMap<>(), new TreeMap<>());
    }

    private VersionContent addedAtOnce(int brands) {
        return version(Configuration.EMPTY, configuration(brands, "plain"));
    }

    private VersionContent addedBefore(int brands) {
        return version(configuration(brands, "plain"), configuration(brands, "dark"));
    }

    private static VersionContent version(Configuration before, Configuration after) {
        AuditEntry audit = new AuditEntry(
                "00000000-0000-0000-0000-000000000000",
                "an operator",
                "a summary",
                0,
                ConfigurationDiff.between(before, after).stream()
                        .map(ObjectChange::abridged)
                        .toList());
        return VersionContent.encode(VersionId.NONE, audit, after);
    }
}
