package org.berylwick.bench.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.client.grpc.GrpcClients;
import io.grpc.StatusRuntimeException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.berylwick.api.ApplyCommand;
import org.berylwick.api.ApplyResult;
import org.berylwick.bench.fleet.Fleet;
import org.berylwick.bench.fleet.FleetPlan;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Place;
import org.berylwick.lib.TimeSource;
import org.berylwick.proto.AdminGrpc;
import org.berylwick.proto.DaemonStatus;
import org.berylwick.proto.GetStatusReply;
import org.berylwick.proto.GetStatusRequest;
import org.berylwick.transport.HttpPlatformStore;

/** A fleet of daemon processes with small heaps, without calls, and what is read off it. */
final class ControlFleet implements AutoCloseable {
    private static final List<Place> PLACES = List.of(
            new Place("region-1", "zone-1a"),
            new Place("region-1", "zone-1b"),
            new Place("region-2", "zone-2a"),
            new Place("region-2", "zone-2b"),
            new Place("region-3", "zone-3a"),
            new Place("region-3", "zone-3b"));
    private static final Map<String, String> ENVIRONMENT =
            Map.of("JVM_OPTIONS", "-Xms32m -Xmx96m -XX:ActiveProcessorCount=2 -XX:MaxMetaspaceSize=96m");
    private static final Duration APPLY_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration SETTLE_TIMEOUT = Duration.ofSeconds(90);
    private static final long POLL_MILLIS = 100;
    private static final long TICKS_PER_SECOND = 100;
    private static final int STARTED_AT_ONCE = 8;
    private static final Pattern COMPILER_THREAD = Pattern.compile("C[12] Compiler");
    private static final Pattern HEAP_USED = Pattern.compile("(?:new generation|[Tt]enured).*?used (\\d+)K");

    private final Fleet fleet = new Fleet();
    private final HttpClient http = HttpClient.newHttpClient();
    private final ObjectMapper json = new ObjectMapper();
    private final Map<String, AdminGrpc.AdminBlockingStub> admins = new HashMap<>();
    private final Map<String, HostPort> listening = new ConcurrentHashMap<>();
    private final String spreadSettings;
    private final FleetPlan plan;
    private HttpPlatformStore store;

    /**
     * What the daemons counted, summed over them.
     *
     * @param bytes control bytes over the sockets, each counted once
     * @param calls to the platform's store
     * @param cpuTicks processor time without that of the just-in-time compiler, in hundredths of a second
     */
    record Counters(long bytes, long calls, long cpuTicks) {
        Counters minus(Counters other) {
            return new Counters(bytes - other.bytes, calls - other.calls, cpuTicks - other.cpuTicks);
        }
    }

    /** An accepted version and when the store's answer came, by the wall clock. */
    record AcceptedAt(long version, long epochMillis) {}

    /** Nothing runs yet; {@code spreadSettings} are lines of the table {@code [spread]}. */
    ControlFleet(int daemons, String spreadSettings) {
        this.spreadSettings = "[spread]\n" + spreadSettings;
        List<FleetPlan.Instance> instances = new ArrayList<>();
        for (int i = 0; i < daemons; i++) {
            Place place = PLACES.get(i % PLACES.size());
            int service = i / PLACES.size() % BenchDeclarations.SERVICES;
            instances.add(new FleetPlan.Instance("daemon-%03d".formatted(i), "service-" + service, place));
        }
        plan = new FleetPlan(instances);
    }

    /** Starts everything and has the first version in force everywhere. */
    void start() throws InterruptedException {
        fleet.startPlatform();
        fleet.startBackends(plan, List.of());
        store = new HttpPlatformStore(URI.create("http://" + fleet.platform()), TimeSource.SYSTEM);
        List<FleetPlan.Instance> all = plan.instances();
        for (int from = 0; from < all.size(); from += STARTED_AT_ONCE) {
            List<FleetPlan.Instance> some = all.subList(from, Math.min(all.size(), from + STARTED_AT_ONCE));
            some.forEach(this::startDaemon);
            some.forEach(this::awaitDaemon);
        }
        awaitInstalled(apply(BenchDeclarations.everything("first")), names());
        awaitMembers(all.size());
    }

    /** Ends a daemon's process at once. */
    void kill(String name) {
        listening.remove(name);
        fleet.daemons().get(name).process().destroyForcibly();
    }

    /** Where those daemons take calls that a caller may take for running. */
    List<HostPort> listening() {
        return List.copyOf(listening.values());
    }

    /** Asks the platform's stand-in for something under {@code /control/}. */
    JsonNode control(String command) {
        return get("http://" + fleet.platform() + "/control/" + command);
    }

    List<FleetPlan.Instance> instances() {
        return plan.instances();
    }

    List<String> names() {
        return plan.instances().stream().map(FleetPlan.Instance::name).toList();
    }

    Fleet fleet() {
        return fleet;
    }

    void startDaemon(FleetPlan.Instance i) {
        fleet.startDaemon(i, spreadSettings, ENVIRONMENT);
    }

    void awaitDaemon(FleetPlan.Instance i) {
        fleet.awaitDaemon(i.name());
        listening.put(i.name(), fleet.addresses(i.name()).callers());
        admins.put(
                i.name(),
                GrpcClients.builder("gproto+h2c://" + fleet.addresses(i.name()).admin())
                        .responseTimeout(Duration.ofSeconds(2))
                        .build(AdminGrpc.AdminBlockingStub.class));
    }

    /** Has declarations accepted straight through the store, so that no daemon does more than the others. */
    AcceptedAt apply(String declarations) {
        ApplyResult result = new ApplyCommand(new VersionRepository(store), TimeSource.SYSTEM)
                .addDocument("bench.toml", declarations)
                .setAuthor("bench")
                .setDeadline(Deadline.after(TimeSource.SYSTEM, APPLY_TIMEOUT))
                .call();
        if (result instanceof ApplyResult.Accepted accepted) {
            return new AcceptedAt(accepted.version().number(), System.currentTimeMillis());
        }
        throw new IllegalStateException("not accepted: " + result);
    }

    /** Waits until each daemon reports the version or a later one; tells how long each took, in milliseconds. */
    List<Long> awaitInstalled(AcceptedAt accepted, List<String> names) throws InterruptedException {
        List<Long> millis = new ArrayList<>();
        List<String> left = new ArrayList<>(names);
        Deadline by = Deadline.after(TimeSource.SYSTEM, SETTLE_TIMEOUT);
        while (!left.isEmpty()) {
            for (String name : List.copyOf(left)) {
                Optional<DaemonStatus> own = ownStatus(name).filter(s -> s.getVersion() >= accepted.version());
                if (own.isPresent()) {
                    left.remove(name);
                    millis.add(Math.max(0, own.get().getInstalledAtEpochMs() - accepted.epochMillis()));
                }
            }
            if (by.isPast(TimeSource.SYSTEM)) {
                throw new IllegalStateException("version " + accepted.version() + " is not in force at " + left);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        return millis;
    }

    /** Waits until each daemon knows that many others as up. */
    void awaitMembers(int count) throws InterruptedException {
        Deadline by = Deadline.after(TimeSource.SYSTEM, SETTLE_TIMEOUT);
        for (String name : names()) {
            while (status(name).filter(s -> s.getDaemonsCount() >= count).isEmpty()) {
                if (by.isPast(TimeSource.SYSTEM)) {
                    throw new IllegalStateException(name + " does not know all: " + status(name));
                }
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        }
    }

    private Optional<DaemonStatus> ownStatus(String name) {
        return status(name)
                .flatMap(s -> s.getDaemonsList().stream()
                        .filter(d -> d.getInstance().equals(name))
                        .findFirst());
    }

    private Optional<GetStatusReply> status(String name) {
        try {
            return Optional.of(admins.get(name).getStatus(GetStatusRequest.getDefaultInstance()));
        } catch (StatusRuntimeException e) {
            return Optional.empty();
        }
    }

    /** Sums the counters of the daemons named. */
    Counters counters(List<String> names) {
        long bytes = 0;
        long calls = 0;
        long ticks = 0;
        for (String name : names) {
            JsonNode counters =
                    get("http://" + fleet.addresses(name).admin() + "/metrics").path("counters");
            for (String counter : List.of(
                    "spread.peer.bytes.sent",
                    "spread.peer.bytes.received",
                    "store.bytes.sent",
                    "store.bytes.received")) {
                bytes += counters.path(counter).path("count").asLong();
            }
            calls += counters.path("store.calls").path("count").asLong();
            ticks += cpuTicks(name);
        }
        return new Counters(bytes, calls, ticks);
    }

    private JsonNode get(String uri) {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create(uri))
                    .timeout(Duration.ofSeconds(5))
                    .build();
            return json.readTree(
                    http.send(request, HttpResponse.BodyHandlers.ofString()).body());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private long pid(String name) {
        return fleet.daemons().get(name).process().pid();
    }

    /** Processor time of a daemon's threads but those of the just-in-time compiler, which ends its work in time. */
    private long cpuTicks(String name) {
        long ticks = 0;
        try (Stream<Path> tasks = Files.list(Path.of("/proc/" + pid(name) + "/task"))) {
            for (Path task : tasks.toList()) {
                String stat = Files.readString(task.resolve("stat"));
                int end = stat.lastIndexOf(')');
                if (COMPILER_THREAD
                        .matcher(stat.substring(stat.indexOf('(') + 1, end))
                        .lookingAt()) {
                    continue;
                }
                String[] fields = stat.substring(end + 2).split(" ");
                ticks += Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return ticks;
    }

    /** Processor time as percent of one core. */
    static double cpuPercent(Counters spent, int daemons, double seconds) {
        return 100.0 * spent.cpuTicks() / TICKS_PER_SECOND / daemons / seconds;
    }

    /** Live heap of one daemon after a full collection, in megabytes. */
    double liveHeapMegabytes(String name) throws IOException, InterruptedException {
        jcmd(name, "GC.run");
        Matcher used = HEAP_USED.matcher(jcmd(name, "GC.heap_info"));
        long kilobytes = 0;
        while (used.find()) {
            kilobytes += Long.parseLong(used.group(1));
        }
        return kilobytes / 1024.0;
    }

    private String jcmd(String name, String command) throws IOException, InterruptedException {
        String tool = System.getProperty("java.home") + "/bin/jcmd";
        Process process = new ProcessBuilder(tool, Long.toString(pid(name)), command)
                .redirectErrorStream(true)
                .start();
        String text = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        process.waitFor();
        return text;
    }

    @Override
    public void close() {
        if (store != null) {
            store.close();
        }
        fleet.close();
    }
}
