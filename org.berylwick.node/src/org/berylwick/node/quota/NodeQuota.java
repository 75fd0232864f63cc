package org.berylwick.node.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.Organisation;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.Instruments;
import org.berylwick.node.log.NodeMetricNames;

/**
 * Limits the requests of organisations over all nodes together, by permits that a quota server grants. Confined to the
 * event loop.
 *
 * <p>While no version limits an organisation, it schedules and sends nothing.
 */
public final class NodeQuota implements RequestQuota {
    private static final long RESEND_NANOS = 40_000_000L;
    private static final long ANSWER_TIMEOUT_NANOS = 100_000_000L;
    /** How long a node that did not answer is not asked. */
    private static final long AVOID_NANOS = 1_000_000_000L;
    /** How long no node is asked after one has answered that there is no quota server. */
    private static final long NO_SERVER_NANOS = 100_000_000L;
    /** Number of nodes that are asked for one question, if each names another one. */
    private static final int MAX_HOPS = 3;

    private static final long ENTRY_TICK_NANOS = 1_000_000_000L;
    private static final long IDLE_CLIENT_NANOS = 10_000_000_000L;
    private static final long REPORT_INTERVAL_NANOS = 1_000_000_000L;
    private static final double MIN_RETRY_S = 0.2;
    private static final double RETRY_SPREAD_S = 0.8;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock clock;
    private final QuotaFleet fleet;
    private final BiConsumer<String, QuotaMessage> sender;
    private final DoubleSupplier random;
    private final Instruments instruments;
    private final QuotaElection election;
    private final QuotaServer server;
    private final int process;
    private final Map<String, Client> clients = new HashMap<>();
    private final Map<String, Long> avoidedUntil = new HashMap<>();
    private long lastNumber;
    private boolean active;
    private boolean ticking;

    /** What this node keeps of an organisation whose requests it receives. */
    private static final class Client {
        private final PermitPool pool;
        private final Deque<Consumer<Decision>> waiting = new ArrayDeque<>();
        private Organisation organisation;
        private Optional<Question> question = Optional.empty();
        /** Present from the first question without an answer to the next answer. */
        private Optional<QuotaBucket> fallback = Optional.empty();

        private String lastServer = "";
        private long noServerUntil;
        private boolean idleCheckScheduled;
        private int returnable;
        private long reportedAt;
        private long refusedSinceReport;
        private int refusedSinceAnswer;

        private Client(Organisation organisation, long now) {
            this.organisation = organisation;
            this.pool = new PermitPool(now);
            this.noServerUntil = now;
            this.reportedAt = now - REPORT_INTERVAL_NANOS;
        }
    }

    /**
     * A question that was not answered yet.
     *
     * @param number as sent
     * @param server the node that it was sent to
     * @param second the node that it was sent to as well because the first one has not answered, empty for none
     * @param wanted number of permits
     * @param hops how many nodes were asked, one after the other
     * @param askedAt when it was first sent
     * @param timer the next action without an answer
     */
    private record Question(
            long number, String server, String second, int wanted, int hops, long askedAt, Clock.Timer timer) {
        private boolean isFrom(String node) {
            return server.equals(node) || second.equals(node);
        }
    }

    /**
     * @param clock time source; its tasks run on the event loop
     * @param fleet what is known of the other nodes
     * @param sender sends a message to a node
     * @param organisations finds an organisation in the version in force
     * @param random uniform in [0, 1)
     * @param instruments counters and event log
     */
    public NodeQuota(
            Clock clock,
            QuotaFleet fleet,
            BiConsumer<String, QuotaMessage> sender,
            Function<String, Optional<Organisation>> organisations,
            DoubleSupplier random,
            Instruments instruments) {
        this.clock = clock;
        this.fleet = fleet;
        this.sender = sender;
        this.random = random;
        this.instruments = instruments;
        this.election = new QuotaElection(fleet.ownIp(), clock.now());
        this.server = new QuotaServer(fleet, election, organisations, random, instruments);
        this.process = (int) (random.getAsDouble() * Integer.MAX_VALUE);
    }

    /** Starts or ends the exchange with other nodes; called when a version comes into force. */
    public void setActive(boolean limitsExist) {
        active = limitsExist;
        if (active && !ticking) {
            ticking = true;
            tick();
        }
    }

    private void tick() {
        if (!active) {
            ticking = false;
            return;
        }
        long now = clock.now();
        election.update(fleet.readers(), now);
        server.tick(now);
        if (election.isReader()) {
            QuotaMessage.Beat beat = election.beat(now);
            for (String reader : election.readers()) {
                if (!reader.equals(fleet.ownIp())) {
                    sender.accept(reader, beat);
                }
            }
        }
        clients.values()
                .removeIf(client -> client.waiting.isEmpty()
                        && client.question.isEmpty()
                        && client.pool.permits() == 0
                        && client.returnable == 0
                        && now - client.pool.lastRequestAt() > IDLE_CLIENT_NANOS);
        clock.schedule(now + (election.isReader() ? QuotaElection.BEAT_NANOS : ENTRY_TICK_NANOS), this::tick);
    }

    @Override
    public void acquire(Organisation organisation, Consumer<Decision> onDecision) {
        if (!organisation.isLimited()) {
            onDecision.accept(new Decision.Granted(Permit.UNLIMITED));
            return;
        }
        long now = clock.now();
        Client client = clients.computeIfAbsent(organisation.name(), name -> new Client(organisation, now));
        if (!organisation.equals(client.organisation)) {
            client.organisation = organisation;
            client.pool.removeAll();
            client.pool.endHold(now);
        }
        long expiresAt = client.pool.nextExpiry(now);
        switch (client.pool.onRequest(now)) {
            case USES_PERMIT -> {
                onDecision.accept(new Decision.Granted(() -> takeBack(client, expiresAt)));
                if (client.question.isEmpty() && client.pool.shouldAskAhead(now)) {
                    ask(client, now);
                }
            }
            case NEEDS_ANSWER -> {
                client.waiting.add(onDecision);
                if (client.question.isEmpty()) {
                    ask(client, now);
                }
            }
            case REFUSED -> refuse(client, onDecision, client.pool.nextRetryNanos(now));
        }
    }

    private void ask(Client client, long now) {
        Optional<String> chosen = now < client.noServerUntil ? Optional.empty() : chooseServer(client, now);
        if (chosen.isEmpty()) {
            decideWithoutServer(client, now);
            return;
        }
        int wanted = client.pool.wanted(client.waiting.size(), now);
        instruments.counters().add(NodeMetricNames.QUOTA_PERMITS_ASKED, wanted);
        send(client, chosen.get(), wanted, 1, now);
    }

    /** Returns the node that answered last, as long as it does; any other reader names it if it is replaced. */
    private Optional<String> chooseServer(Client client, long now) {
        String last = client.lastServer;
        return election.readers().contains(last) && !isAvoided(last, now)
                ? Optional.of(last)
                : firstReaderExcept("", client, now);
    }

    private Optional<String> firstReaderExcept(String excluded, Client client, long now) {
        return RendezvousOrder.first(
                client.organisation.name(),
                election.readers().stream()
                        .filter(reader -> !reader.equals(excluded) && !isAvoided(reader, now))
                        .toList());
    }

    private boolean isAvoided(String reader, long now) {
        return avoidedUntil.getOrDefault(reader, now) > now;
    }

    private void send(Client client, String to, int wanted, int hops, long now) {
        long number = ++lastNumber;
        QuotaMessage.Ask ask =
                new QuotaMessage.Ask(process, number, client.organisation.name(), wanted, client.refusedSinceAnswer);
        Clock.Timer timer = clock.schedule(now + RESEND_NANOS, () -> resend(client, to, ask));
        client.question = Optional.of(new Question(number, to, "", wanted, hops, now, timer));
        deliver(to, ask);
    }

    private void deliver(String to, QuotaMessage.Ask ask) {
        if (!to.equals(fleet.ownIp())) {
            sender.accept(to, ask);
            return;
        }
        // Deferred, because the answer may cause another question.
        clock.defer(() -> server.onAsk(to, ask, clock.now()).ifPresent(answer -> receive(to, answer)));
    }

    /** Asks again, and also the next node by hash, which has taken over if the first one was killed. */
    private void resend(Client client, String to, QuotaMessage.Ask ask) {
        Question question = client.question.orElseThrow();
        String second = firstReaderExcept(to, client, clock.now()).orElse("");
        Clock.Timer timer = clock.schedule(question.askedAt() + ANSWER_TIMEOUT_NANOS, () -> onTimeout(client));
        client.question = Optional.of(new Question(
                question.number(), to, second, question.wanted(), question.hops(), question.askedAt(), timer));
        deliver(to, ask);
        if (!second.isEmpty()) {
            deliver(second, ask);
        }
    }

    private void onTimeout(Client client) {
        long now = clock.now();
        avoidedUntil.put(client.question.orElseThrow().server(), now + AVOID_NANOS);
        client.question = Optional.empty();
        instruments.counters().increment(NodeMetricNames.QUOTA_TIMEOUTS);
        decideWithoutServer(client, now);
    }

    /** Processes a message of another node. */
    public void receive(String from, QuotaMessage message) {
        if (!active) {
            return;
        }
        long now = clock.now();
        switch (message) {
            case QuotaMessage.Ask ask -> {
                election.update(fleet.readers(), now);
                server.onAsk(from, ask, now).ifPresent(answer -> sender.accept(from, answer));
            }
            case QuotaMessage.Return returned -> server.onReturn(from, returned, now);
            case QuotaMessage.Beat beat -> election.onBeat(from, beat, now);
            case QuotaMessage.Answer answer -> {
                Client client = clients.get(answer.organisation());
                if (client != null) {
                    onAnswer(client, from, answer, now);
                }
            }
            case QuotaMessage.NotServer notServer -> {
                Client client = clients.get(notServer.organisation());
                if (client != null) {
                    onNotServer(client, from, notServer, now);
                }
            }
        }
    }

    private static Optional<Question> takeQuestion(Client client, String from, long number) {
        Optional<Question> question = client.question.filter(q -> q.number() == number && q.isFrom(from));
        question.ifPresent(q -> {
            q.timer().cancel();
            client.question = Optional.empty();
        });
        return question;
    }

    private void onAnswer(Client client, String from, QuotaMessage.Answer answer, long now) {
        Optional<Question> question = takeQuestion(client, from, answer.number());
        if (question.isEmpty()) {
            // The permits of a late answer are not used, and not returned either: they expire.
            return;
        }
        if (!question.get().server().equals(from)) {
            avoidedUntil.put(question.get().server(), now + AVOID_NANOS);
        }
        client.lastServer = from;
        client.fallback = Optional.empty();
        avoidedUntil.remove(from);
        client.refusedSinceAnswer = 0;
        boolean usedUp = answer.holdNanos() > 0;
        client.pool.onGranted(answer.granted(), question.get().askedAt());
        if (usedUp) {
            client.pool.onUsedUp(answer.holdNanos(), answer.retryNanos(), answer.paceNanos(), now);
        }
        scheduleIdleCheck(client, now);
        while (!client.waiting.isEmpty()) {
            long expiresAt = client.pool.nextExpiry(now);
            if (!client.pool.take(now)) {
                break;
            }
            client.waiting.poll().accept(new Decision.Granted(() -> takeBack(client, expiresAt)));
        }
        if (usedUp) {
            refuseWaiting(client, now);
        } else if (!client.waiting.isEmpty() && client.question.isEmpty()) {
            ask(client, now);
        }
    }

    private void refuseWaiting(Client client, long now) {
        while (!client.waiting.isEmpty()) {
            refuse(client, client.waiting.poll(), client.pool.nextRetryNanos(now));
        }
    }

    private void onNotServer(Client client, String from, QuotaMessage.NotServer answer, long now) {
        if (client.question.stream()
                .anyMatch(q -> q.number() == answer.number() && q.second().equals(from))) {
            // The first node may still answer.
            return;
        }
        Optional<Question> question = takeQuestion(client, from, answer.number());
        if (question.isEmpty()) {
            return;
        }
        String named = answer.server();
        if (!named.isEmpty() && !named.equals(from) && question.get().hops() < MAX_HOPS) {
            send(client, named, question.get().wanted(), question.get().hops() + 1, now);
            return;
        }
        client.noServerUntil = now + NO_SERVER_NANOS;
        decideWithoutServer(client, now);
    }

    /** Decides on the waiting requests by the fallback share of this node. */
    private void decideWithoutServer(Client client, long now) {
        if (client.fallback.isEmpty() && fleet.isNodeCountKnown()) {
            double share =
                    client.organisation.ratePerSecond() * QuotaServer.FALLBACK_SHARE / Math.max(1, fleet.nodeCount());
            // A random start, as otherwise all nodes would grant their first request at the same moment.
            long emptyAt = now - (long) (random.getAsDouble() * NANOS_PER_SECOND / share);
            client.fallback = Optional.of(new QuotaBucket(share, 0, emptyAt));
        }
        while (!client.waiting.isEmpty()) {
            Consumer<Decision> onDecision = client.waiting.poll();
            if (client.fallback.isPresent() && client.fallback.get().take(1, now) == 1) {
                instruments.counters().increment(NodeMetricNames.QUOTA_FALLBACK_USED);
                onDecision.accept(new Decision.Granted(Permit.UNLIMITED));
                continue;
            }
            double retrySeconds = MIN_RETRY_S + RETRY_SPREAD_S * random.getAsDouble();
            refuse(client, onDecision, (long) (retrySeconds * NANOS_PER_SECOND));
        }
    }

    private void refuse(Client client, Consumer<Decision> onDecision, long retryNanos) {
        client.refusedSinceReport++;
        client.refusedSinceAnswer++;
        long now = clock.now();
        if (now - client.reportedAt >= REPORT_INTERVAL_NANOS) {
            instruments
                    .log()
                    .write(
                            Event.QUOTA_REFUSED,
                            "organisation",
                            client.organisation.name(),
                            "limit",
                            client.organisation.ratePerSecond(),
                            "burst",
                            client.organisation.burst(),
                            "server",
                            client.lastServer,
                            "refused",
                            client.refusedSinceReport,
                            "retryAfterMs",
                            retryNanos / 1_000_000);
            client.reportedAt = now;
            client.refusedSinceReport = 0;
        }
        onDecision.accept(new Decision.Refused(retryNanos));
    }

    private void takeBack(Client client, long expiresAt) {
        long now = clock.now();
        if (!client.pool.takeBack(expiresAt, now)) {
            client.returnable++;
        }
        scheduleIdleCheck(client, now);
    }

    private void scheduleIdleCheck(Client client, long now) {
        if (client.idleCheckScheduled || client.pool.permits() == 0 && client.returnable == 0) {
            return;
        }
        client.idleCheckScheduled = true;
        clock.schedule(now + PermitPool.IDLE_NANOS, () -> {
            client.idleCheckScheduled = false;
            returnUnused(client);
        });
    }

    private void returnUnused(Client client) {
        long now = clock.now();
        int unused = client.pool.removeUnused(now);
        int expired = client.pool.drainExpired();
        instruments.counters().add(NodeMetricNames.QUOTA_PERMITS_EXPIRED, expired);
        int count = unused + expired + client.returnable;
        client.returnable = 0;
        if (count > 0 && !client.lastServer.isEmpty()) {
            instruments.counters().add(NodeMetricNames.QUOTA_PERMITS_RETURNED, count);
            QuotaMessage.Return returned =
                    new QuotaMessage.Return(process, ++lastNumber, client.organisation.name(), count);
            if (client.lastServer.equals(fleet.ownIp())) {
                server.onReturn(client.lastServer, returned, now);
            } else {
                sender.accept(client.lastServer, returned);
            }
        }
        scheduleIdleCheck(client, now);
    }

    /** Number of organisations of which this node holds the bucket. */
    public int servedOrganisations() {
        return server.accountCount();
    }
}
