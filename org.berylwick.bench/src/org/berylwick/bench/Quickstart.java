package org.berylwick.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.berylwick.bench.fleet.Fleet;
import org.berylwick.bench.fleet.FleetPlan;
import org.berylwick.lib.HostPort;

/** Runs one of the examples as separate processes and shows every step of it. */
public final class Quickstart {
    private static final Duration SETTLE = Duration.ofSeconds(30);
    private static final int EXIT_BAD_INPUT = 2;

    private final PrintStream out;
    private final Path example;
    private final Fleet fleet;
    private final FleetPlan plan;
    private final HttpClient http = HttpClient.newBuilder()
            .connectTimeout(Duration.ofSeconds(2))
            .version(HttpClient.Version.HTTP_1_1)
            .build();

    private Quickstart(PrintStream out, Path example, Fleet fleet) {
        this.out = out;
        this.example = example;
        this.fleet = fleet;
        this.plan = FleetPlan.read(example.resolve("fleet.toml"));
    }

    private record Sample(String kind, String method, String host, String path) {}

    /** The entry point. */
    public static void main(String[] args) throws Exception {
        // The host header is this client's to choose: a brand is known by it.
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        ArgumentParser parser = ArgumentParsers.newFor("quickstart").build();
        parser.addArgument("example")
                .nargs("?")
                .choices("silong", "fumee-claire")
                .setDefault("silong");
        parser.addArgument("--keep").action(Arguments.storeTrue()).help("leave everything running until interrupted");
        Namespace options;
        try {
            options = parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(EXIT_BAD_INPUT);
            return;
        }
        PrintStream out = System.out;
        Path top = Path.of(System.getProperty("berylwick.top", "."));
        try (Fleet fleet = new Fleet()) {
            Quickstart quickstart = new Quickstart(out, top.resolve("examples/" + options.getString("example")), fleet);
            quickstart.run(options.getString("example"));
            if (options.getBoolean("keep")) {
                quickstart.keep();
            }
        } catch (IllegalStateException e) {
            out.println("quickstart failed: " + e.getMessage());
            System.exit(1);
        }
        out.println("everything stopped");
    }

    private void run(String name) throws IOException, InterruptedException {
        out.println("starting " + plan.instances().size() + " daemons and the stand-ins");
        fleet.start(plan);
        out.println("applying " + example.getFileName());
        operate(
                "apply",
                example.resolve("brands.toml").toString(),
                example.resolve("routes.toml").toString(),
                example.resolve("policies.toml").toString(),
                example.resolve("services.toml").toString(),
                "-m",
                "quickstart");
        awaitEverywhere(1);
        List<Sample> samples = samples(name);
        for (int i = 0; i < samples.size(); i++) {
            out.println(samples.get(i).kind() + ": " + send(samples.get(i), i * 3));
        }
        operate("status");
        changeOneBrand(samples);
    }

    private static List<Sample> samples(String name) {
        return switch (name) {
            case "silong" ->
                List.of(
                        new Sample("read", "GET", "poblacion.silong.example", "/slots/makati-12"),
                        new Sample("confirmation", "POST", "kapitolyo.silong.example", "/placements"),
                        new Sample("bulk", "GET", "crews.silong.example", "/artwork/dawn-run"),
                        new Sample("lookup", "GET", "sampaloc.silong.example", "/internal/panels/7"));
            default ->
                List.of(
                        new Sample("read", "GET", "thies.fumeeclaire.example", "/tiles/8/120/98"),
                        new Sample("order", "POST", "ferlo.fumeeclaire.example", "/subscriptions"),
                        new Sample("bulk", "GET", "casamance.fumeeclaire.example", "/archives/2026-11"),
                        new Sample("lookup", "GET", "thies.fumeeclaire.example", "/internal/tile-index/8"));
        };
    }

    private void changeOneBrand(List<Sample> samples) throws IOException, InterruptedException {
        Sample changed = samples.get(0);
        Sample other = samples.get(1);
        String brands = Files.readString(example.resolve("brands.toml"));
        String table = brandTable(brands, changed.host());
        Path file = Files.createTempFile("one-brand", ".toml");
        try {
            Files.writeString(file, table.replaceAll("x-theme = \"[a-z]+\"", "x-theme = \"festival\""));
            operate("apply", file.toString(), "-m", "another theme for one brand");
        } finally {
            Files.delete(file);
        }
        awaitEverywhere(2);
        String after = send(changed, 1);
        String untouched = send(other, 2);
        out.println("changed brand: " + after);
        out.println("other brand:   " + untouched);
        require(after.contains("festival"), "the changed brand's traffic does not show the change");
        require(!untouched.contains("festival"), "the change reached another brand's traffic");
    }

    private static String brandTable(String brands, String host) {
        for (String table : brands.split("(?=\\[\\[brand]])")) {
            if (table.contains(host)) {
                return table;
            }
        }
        throw new IllegalStateException("no brand has host " + host);
    }

    private static void require(boolean holds, String otherwise) {
        if (!holds) {
            throw new IllegalStateException(otherwise);
        }
    }

    private String send(Sample sample, int daemon) throws IOException, InterruptedException {
        FleetPlan.Instance entry =
                plan.instances().get(daemon % plan.instances().size());
        HostPort callers = fleet.addresses(entry.name()).callers();
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + callers + sample.path()))
                .header("host", sample.host())
                .header("idempotency-key", "quickstart-" + sample.kind())
                .timeout(Duration.ofSeconds(10))
                .method(sample.method(), HttpRequest.BodyPublishers.noBody())
                .build();
        HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
        require(
                response.statusCode() == 200,
                sample + " was answered " + response.statusCode() + " " + response.body());
        return "via " + entry.name() + " -> " + response.body();
    }

    private void operate(String... command) throws IOException, InterruptedException {
        String text = operateQuietly(command);
        text.lines().forEach(line -> out.println("  " + line));
    }

    private String operateQuietly(String... command) throws IOException, InterruptedException {
        String admin =
                fleet.addresses(plan.instances().getFirst().name()).admin().toString();
        List<String> line = new java.util.ArrayList<>(
                List.of(System.getProperty("berylwick.top", ".") + "/bin/berylwick", "--admin", admin));
        line.addAll(List.of(command));
        Process process = new ProcessBuilder(line).redirectErrorStream(true).start();
        String text = new String(process.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
        int status = process.waitFor();
        require(status == 0, "berylwick " + String.join(" ", command) + " exited " + status + ": " + text);
        return text;
    }

    private void awaitEverywhere(long version) throws IOException, InterruptedException {
        long by = System.nanoTime() + SETTLE.toNanos();
        while (true) {
            String status = operateQuietly("status");
            long current = status.lines().filter(l -> l.endsWith(" " + version)).count();
            String members = operateQuietly("members");
            long up = members.lines().filter(l -> l.contains(" UP ")).count();
            // One more line of the status than there are daemons: the first tells the version.
            if (current > plan.instances().size() && up == plan.instances().size()) {
                out.println("version " + version + " is in force on all " + up + " daemons");
                return;
            }
            require(System.nanoTime() < by, "version " + version + " is not in force everywhere:\n" + status + members);
            TimeUnit.MILLISECONDS.sleep(200);
        }
    }

    private void keep() throws InterruptedException {
        plan.instances().forEach(i -> out.println(i.name() + " " + fleet.addresses(i.name())));
        out.println("platform " + fleet.platform());
        FleetPlan.Instance first = plan.instances().getFirst();
        out.println("export BERYLWICK_ADMIN=" + fleet.addresses(first.name()).admin());
        out.println("export CALLERS=" + fleet.addresses(first.name()).callers());
        // A terminal interrupts every process of the fleet, but whoever ends this one alone would leave the others
        // behind.
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::close, "stop-fleet"));
        out.println("running; interrupt to stop");
        new java.util.concurrent.CountDownLatch(1).await();
    }
}
