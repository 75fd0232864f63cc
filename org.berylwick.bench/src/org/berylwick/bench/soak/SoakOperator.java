package org.berylwick.bench.soak;

import com.linecorp.armeria.client.grpc.GrpcClients;
import io.grpc.StatusRuntimeException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.TimeSource;
import org.berylwick.proto.AdminGrpc;
import org.berylwick.proto.ApplyReply;
import org.berylwick.proto.ApplyRequest;
import org.berylwick.proto.Document;

/** Operators who change one brand's theme at a time through any daemon, and repeat what was left undecided. */
final class SoakOperator {
    /** Key of the store's object that says what is accepted. */
    static final String HEAD_KEY = "config/head";

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration GIVE_UP = Duration.ofSeconds(25);
    private static final long PAUSE_MILLIS = 500;
    private static final int RACERS = 3;

    private final SoakFleet fleet;
    private final TimeSource time = TimeSource.SYSTEM;
    private final Random random;
    private final List<Accepted> accepted = new ArrayList<>();
    private final Set<String> undecided = new HashSet<>();
    private final Map<HostPort, AdminGrpc.AdminBlockingStub> stubs = new HashMap<>();
    private long operations;
    private long refused;

    /**
     * A change that an operator was told is accepted.
     *
     * @param version with which it is in force
     * @param brand that it changed
     * @param theme that it set, which also names the operation
     */
    record Accepted(long version, String brand, String theme) {}

    SoakOperator(SoakFleet fleet, long seed) {
        this.fleet = fleet;
        this.random = new Random(seed);
    }

    /** Has the whole example accepted. */
    void applyAll(String documents) {
        ApplyReply reply = stub(fleet.nodes().getFirst()).apply(request("all", documents));
        if (!reply.hasAccepted()) {
            throw new IllegalStateException("not accepted: " + reply);
        }
    }

    /** Changes one brand. */
    void applyOne() throws InterruptedException {
        change(SoakTraffic.BRANDS.get(draw(SoakTraffic.BRANDS.size())));
    }

    /** Changes one brand through several daemons at once; tells how many operators raced. */
    int race(int variant) throws InterruptedException {
        SoakTraffic.Brand brand = SoakTraffic.BRANDS.get(variant % SoakTraffic.BRANDS.size());
        List<Thread> racers = new ArrayList<>();
        for (int i = 0; i < RACERS; i++) {
            racers.add(Thread.ofVirtual().start(() -> {
                try {
                    change(brand);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
        }
        for (Thread t : racers) {
            t.join();
        }
        return RACERS;
    }

    private synchronized int draw(int bound) {
        return random.nextInt(bound);
    }

    private synchronized String nextTheme() {
        operations++;
        return "t" + operations;
    }

    private void change(SoakTraffic.Brand brand) throws InterruptedException {
        String theme = nextTheme();
        Deadline giveUp = Deadline.after(time, GIVE_UP);
        ApplyRequest request = request(theme, brand.declaration(theme));
        boolean settled = false;
        while (!settled && !giveUp.isPast(time)) {
            settled = attempt(request, brand, theme);
            if (!settled) {
                Thread.sleep(PAUSE_MILLIS);
            }
        }
        if (!settled) {
            synchronized (this) {
                undecided.add(theme);
            }
        }
    }

    /** @return whether it is known what became of the change */
    private boolean attempt(ApplyRequest request, SoakTraffic.Brand brand, String theme) {
        ApplyReply reply;
        try {
            reply = stub(fleet.nodes().get(draw(fleet.nodes().size()))).apply(request);
        } catch (StatusRuntimeException e) {
            return false;
        }
        return switch (reply.getResultCase()) {
            case ACCEPTED -> {
                note(new Accepted(reply.getAccepted().getVersion(), brand.name(), theme));
                yield true;
            }
            case CONFLICT, REJECTED, UNCHANGED, DRY_RUN -> {
                countRefused();
                yield true;
            }
            case UNDECIDED, UNAVAILABLE, RESULT_NOT_SET -> false;
        };
    }

    private synchronized void note(Accepted change) {
        accepted.add(change);
    }

    private synchronized void countRefused() {
        refused++;
    }

    private static ApplyRequest request(String operation, String text) {
        return ApplyRequest.newBuilder()
                .setOperationId(operation)
                .setAuthor("soak")
                .setSummary(operation)
                .addDocuments(Document.newBuilder().setName(operation + ".toml").setText(text))
                .build();
    }

    private synchronized AdminGrpc.AdminBlockingStub stub(SoakNode node) {
        return stubs.computeIfAbsent(
                fleet.addresses(node).admin(),
                address -> GrpcClients.builder("gproto+h2c://" + address)
                        .responseTimeout(CALL_TIMEOUT)
                        .build(AdminGrpc.AdminBlockingStub.class));
    }

    /** Changes that operators were told are accepted. */
    synchronized List<Accepted> accepted() {
        return List.copyOf(accepted);
    }

    /** Themes of changes of which no operator learnt what became of them. */
    synchronized Set<String> undecided() {
        return Set.copyOf(undecided);
    }

    /** Changes refused as conflicting or invalid. */
    synchronized long refused() {
        return refused;
    }
}
