package org.berylwick.bench;

import java.io.PrintStream;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.berylwick.bench.call.CallMeasurement;
import org.berylwick.bench.call.ColdMeasurement;
import org.berylwick.bench.call.KeysMeasurement;
import org.berylwick.bench.control.Convergence;
import org.berylwick.bench.control.Recovery;
import org.berylwick.bench.control.SpreadCurve;
import org.berylwick.bench.emulate.EmulateMeasurement;
import org.berylwick.bench.limits.LimitsMeasurement;
import org.berylwick.bench.nodes.NodeSoak;
import org.berylwick.bench.quotas.QuotasMeasurement;
import org.berylwick.bench.soak.SoakMeasurement;
import org.berylwick.bench.version.VersionMeasurement;

/** Runs one measurement by name and prints its figures as {@code key: value} lines. */
public final class Measure {
    private static final List<Measurement> MEASUREMENTS = List.of(
            new CallMeasurement(),
            new ColdMeasurement(),
            new KeysMeasurement(),
            new Convergence(),
            new Recovery(),
            new SpreadCurve(),
            new LimitsMeasurement(),
            new QuotasMeasurement(),
            new EmulateMeasurement(),
            new SoakMeasurement(),
            new NodeSoak(),
            new VersionMeasurement());
    private static final int EXIT_BAD_INPUT = 2;

    private Measure() {}

    /** The entry point. */
    public static void main(String[] args) throws Exception {
        PrintStream out = System.out;
        ArgumentParser parser = ArgumentParsers.newFor("measure").build();
        Subparsers names = parser.addSubparsers().dest("measurement").metavar("NAME");
        MEASUREMENTS.forEach(m -> m.declare(names.addParser(m.name())));
        Namespace options;
        try {
            options = parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_BAD_INPUT);
            return;
        }
        String name = options.getString("measurement");
        Measurement measurement = MEASUREMENTS.stream()
                .filter(m -> m.name().equals(name))
                .findFirst()
                .orElseThrow();
        measurement.run(options, out);
        System.exit(0);
    }
}
