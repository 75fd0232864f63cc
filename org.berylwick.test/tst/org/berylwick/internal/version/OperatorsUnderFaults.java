package org.berylwick.internal.version;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.berylwick.api.ApplyCommand;
import org.berylwick.api.ApplyResult;
import org.berylwick.errors.VersionError;
import org.berylwick.internal.config.ConfigurationValidator;
import org.berylwick.internal.version.VersionChain.Link;
import org.berylwick.internal.version.VersionRepository.AcceptedHead;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Result;
import org.berylwick.lib.Snapshot;
import org.berylwick.lib.VersionId;
import org.berylwick.testing.ManualTimeSource;
import org.berylwick.testing.StoreFaults;
import org.berylwick.testing.StoreFaults.ProcessKilled;
import org.berylwick.transport.MemoryStore;

/** Several operators who change one store under faults, and what each was told of each attempt. */
final class OperatorsUnderFaults {
    private static final int BRANDS = 4;
    private static final long PATIENCE_MILLIS = 60;
    private static final String BASE = """
            [[service]]
            name = "web"

            [[route]]
            name = "all"
            path = "/"
            service = "web"

            [[policy]]
            name = "default"
            """;

    private final Random random;
    private final ManualTimeSource time = new ManualTimeSource();
    private final StoreFaults faults;
    private final MemoryStore store;
    private final VersionRepository repository;
    private final List<Attempt> attempts = new ArrayList<>();
    private final List<Change> changes = new ArrayList<>();

    /** What an operator wants; a repeat has the same operation and the same text. */
    private record Change(String operationId, String text, long baseVersion) {}

    /** One try at a change; no result if its process was killed. */
    private record Attempt(Change change, String summary, Optional<ApplyResult> result) {
        boolean saysNothingChanged() {
            return result.isPresent()
                    && !(result.get() instanceof ApplyResult.Accepted)
                    && !(result.get() instanceof ApplyResult.Undecided);
        }
    }

    OperatorsUnderFaults(long seed, int percent) {
        random = new Random(seed);
        faults = new StoreFaults(seed, time, percent);
        store = new MemoryStore(time, faults);
        faults.setStore(store);
        repository = new VersionRepository(store, time, 0);
        faults.setMeanwhile(this::step);
    }

    /** Runs so many attempts, besides those that run nested between the calls of others. */
    void run(int steps) {
        for (int i = 0; i < steps; i++) {
            step();
        }
        faults.heal();
    }

    Map<StoreFaults.Kind, Integer> struck() {
        return faults.struck();
    }

    List<ApplyResult> results() {
        return attempts.stream().flatMap(a -> a.result().stream()).toList();
    }

    private void step() {
        boolean repeat = !changes.isEmpty() && random.nextInt(3) == 0;
        Change change = repeat ? changes.get(random.nextInt(changes.size())) : newChange();
        String summary = "attempt-" + attempts.size();
        int slot = attempts.size();
        attempts.add(new Attempt(change, summary, Optional.empty()));
        ApplyCommand command = new ApplyCommand(repository, time)
                .addDocument("change.toml", change.text())
                .setOperationId(change.operationId())
                .setSummary(summary)
                .setBaseVersion(change.baseVersion())
                .setDeadline(Deadline.afterMillis(time, PATIENCE_MILLIS));
        try {
            attempts.set(slot, new Attempt(change, summary, Optional.of(command.call())));
        } catch (ProcessKilled e) {
            // The operator is left without an answer.
        }
    }

    private Change newChange() {
        StringBuilder text = new StringBuilder();
        if (changes.isEmpty() || random.nextInt(8) == 0) {
            text.append(BASE);
        }
        int brand = random.nextInt(BRANDS);
        text.append("""

                [[brand]]
                name = "b%1$d"
                hosts = ["b%1$d.example"]
                headers = { x-theme = "t%2$d" }
                """.formatted(brand, random.nextInt(1_000)));
        long base = random.nextInt(4) == 0 ? random.nextInt(1 + changes.size()) : 0;
        Change change = new Change("op-" + changes.size(), text.toString(), base);
        changes.add(change);
        return change;
    }

    /** Asserts what must hold once every write has arrived. */
    void check() {
        List<Link> chain = chain();
        Map<String, VersionId> byOperation = new HashMap<>();
        Map<String, String> summaries = new HashMap<>();
        for (Link link : chain) {
            String operation = link.manifest().audit().operationId();
            assertEquals(null, byOperation.put(operation, link.id()), "operation " + operation + " was accepted twice");
            summaries.put(link.manifest().audit().summary(), operation);
        }
        for (Attempt attempt : attempts) {
            attempt.result().ifPresent(r -> checkTruth(attempt, r, byOperation, summaries));
        }
        checkIndex(chain, byOperation);
    }

    private static void checkTruth(
            Attempt attempt, ApplyResult result, Map<String, VersionId> byOperation, Map<String, String> summaries) {
        if (result instanceof ApplyResult.Accepted accepted) {
            assertEquals(
                    byOperation.get(attempt.change().operationId()),
                    accepted.version(),
                    attempt + " was told accepted and has no such version");
        }
        if (attempt.saysNothingChanged()) {
            assertFalse(
                    summaries.containsKey(attempt.summary()), attempt + " was told that nothing changed, and it did");
        }
    }

    private List<Link> chain() {
        List<Link> links = new ArrayList<>();
        AcceptedHead head = value(repository.readHead(forever()));
        VersionChain chain = new VersionChain(repository, head);
        for (Optional<Link> next = value(chain.next(forever()));
                next.isPresent();
                next = value(chain.next(forever()))) {
            links.add(next.get());
            VersionContent whole = value(repository.read(next.get().id(), new HashMap<>(), forever()));
            assertTrue(
                    whole.toSnapshot() instanceof Result.Ok<Snapshot, String>(var snapshot)
                            && ConfigurationValidator.validate(snapshot.configuration(), Map.of())
                                    .isEmpty(),
                    "an accepted version is not whole and valid: " + next.get().id());
        }
        assertEquals(head.id().number(), links.size(), "the chain has gaps");
        return links;
    }

    private void checkIndex(List<Link> chain, Map<String, VersionId> byOperation) {
        AcceptedHead head = value(repository.readHead(forever()));
        Set<String> seen = new HashSet<>();
        for (Link link : chain) {
            assertEquals(
                    Optional.of(link.id()),
                    value(repository.find(head, link.id().number(), forever())));
        }
        for (Change change : changes) {
            assertTrue(seen.add(change.operationId()));
            assertEquals(
                    Optional.ofNullable(byOperation.get(change.operationId())),
                    value(repository.findAccepted(head, change.operationId(), 0, forever())));
        }
    }

    private Deadline forever() {
        return Deadline.afterMillis(time, 1_000_000);
    }

    private static <T> T value(Result<T, VersionError> result) {
        return switch (result) {
            case Result.Ok<T, VersionError>(T value) -> value;
            case Result.Err<T, VersionError>(VersionError error) -> throw new AssertionError(error.toString());
        };
    }
}
