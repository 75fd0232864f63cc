package org.berylwick.bench.control;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.berylwick.bench.Measurement;
import org.berylwick.internal.spread.SpreadTuning;
import org.berylwick.internal.version.VersionContent;
import org.berylwick.lib.AuditEntry;
import org.berylwick.lib.Brand;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.Labels;
import org.berylwick.lib.VersionId;

/**
 * Counts messages' bytes and steps of spreading for sizes and settings that one machine cannot run as processes.
 *
 * <p>The daemons' own code over streams in memory: see {@link ModelFleet}. The same arguments give the same figures.
 */
public final class SpreadCurve implements Measurement {
    private static final int ZONES = 6;
    private static final int BRANDS = 240;
    private static final long JOIN_MILLIS = 40_000;
    private static final long IDLE_MILLIS = 20_000;
    private static final long CHANGE_MILLIS = 10_000;
    private static final int RENEWALS = 10;

    @Override
    public String name() {
        return "spread-curve";
    }

    @Override
    public void declare(Subparser parser) {
        parser.addArgument("--daemons").type(Integer.class).setDefault(48);
        parser.addArgument("--fan-out").type(Integer.class).setDefault(SpreadTuning.DEFAULT.fanOut());
        parser.addArgument("--heartbeat-ms").type(Long.class).setDefault(SpreadTuning.DEFAULT.heartbeatMillis());
        parser.addArgument("--install-ms").type(Long.class).setDefault(20L).help("to fetch and install a version");
    }

    @Override
    public void run(Namespace options, PrintStream out) {
        int daemons = options.getInt("daemons");
        SpreadTuning d = SpreadTuning.DEFAULT;
        SpreadTuning tuning = new SpreadTuning(
                options.getInt("fan_out"),
                d.recordBatchMillis(),
                options.getLong("heartbeat_ms"),
                d.reportBatchMillis(),
                d.suspicionTimeoutMillis());
        ModelFleet fleet = new ModelFleet(daemons, ZONES, tuning, options.getLong("install_ms"));
        fleet.pass(JOIN_MILLIS);
        out.println("fewest_members_known: " + fleet.fewestKnown());
        VersionContent first = content(VersionId.NONE, 0);
        fleet.spread(first, List.of(0), CHANGE_MILLIS);
        fleet.takeBytes();
        fleet.pass(IDLE_MILLIS);
        double idle = fleet.takeBytes() * 1_000.0 / IDLE_MILLIS / daemons;
        print(out, "control_bytes_per_daemon_per_s_idle", idle);
        List<Long> millis = new ArrayList<>(fleet.spread(content(first.id(), 1), List.of(0), CHANGE_MILLIS));
        Collections.sort(millis);
        double change = fleet.takeBytes() / (double) daemons - idle * CHANGE_MILLIS / 1_000;
        out.println("reached: " + millis.size());
        print(out, "converge_p50_ms", millis.get(millis.size() / 2));
        print(out, "converge_max_ms", millis.getLast());
        print(out, "control_bytes_per_daemon_per_change", change);
        for (int i = 0; i < RENEWALS; i++) {
            fleet.renew(i);
        }
        fleet.pass(CHANGE_MILLIS);
        double renewal = (fleet.takeBytes() / (double) daemons - idle * CHANGE_MILLIS / 1_000) / RENEWALS;
        print(out, "control_bytes_per_daemon_per_member_change", renewal);
    }

    private static VersionContent content(VersionId previous, int mark) {
        SortedMap<String, Brand> brands = new TreeMap<>();
        for (int i = 0; i < BRANDS; i++) {
            String name = "brand-%03d".formatted(i);
            Map<String, String> headers = Map.of("x-theme", i == 0 ? "mark-" + mark : "plain");
            brands.put(name, new Brand(name, List.of(name + ".example"), Labels.EMPTY, headers));
        }
        Configuration configuration = new Configuration(brands, new TreeMap<>(), new TreeMap<>(), new TreeMap<>());
        return VersionContent.encode(
                previous, new AuditEntry("operation-" + mark, "bench", "one brand", 0, List.of()), configuration);
    }

    private static void print(PrintStream out, String key, double value) {
        out.println(key + ": " + String.format(Locale.ROOT, "%.1f", value));
    }
}
