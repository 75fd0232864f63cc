package org.berylwick.daemon.settings;

import java.util.ArrayList;
import java.util.List;
import org.berylwick.daemon.settings.DaemonSettings.Spread;
import org.berylwick.daemon.settings.DaemonSettings.SpreadMode;
import org.berylwick.internal.spread.SpreadTuning;
import org.berylwick.internal.toml.TableReader;
import org.berylwick.lib.HostPort;

/** Reads the table {@code [spread]}. */
final class SpreadSettingsReader {
    private static final int MAX_FAN_OUT = 16;
    private static final int MAX_READERS = 8;
    private static final int DEFAULT_READERS = 2;
    private static final long MIN_HEARTBEAT_MILLIS = 100;
    private static final long MIN_SUSPICION_MILLIS = 500;
    private static final long MAX_MILLIS = 60_000;

    private SpreadSettingsReader() {}

    static Spread read(TableReader t) {
        SpreadMode mode = t.choice("mode", SpreadMode.class, SpreadMode.WATCH);
        SpreadTuning d = SpreadTuning.DEFAULT;
        SpreadTuning tuning = new SpreadTuning(
                t.integer("fan_out", 1, MAX_FAN_OUT, d.fanOut()),
                t.durationMillis("batch", 0, MAX_MILLIS, d.recordBatchMillis()),
                t.durationMillis("heartbeat", MIN_HEARTBEAT_MILLIS, MAX_MILLIS, d.heartbeatMillis()),
                t.durationMillis("report", 0, MAX_MILLIS, d.reportBatchMillis()),
                t.durationMillis("suspicion", MIN_SUSPICION_MILLIS, MAX_MILLIS, d.suspicionTimeoutMillis()));
        int readers = t.integer("readers", 1, MAX_READERS, DEFAULT_READERS);
        List<HostPort> seeds = new ArrayList<>();
        for (String seed : t.strings("seeds")) {
            try {
                seeds.add(HostPort.fromString(seed));
            } catch (IllegalArgumentException e) {
                t.fault("seeds", e.getMessage());
            }
        }
        t.finish();
        return new Spread(mode, tuning, readers, seeds);
    }
}
