package org.berylwick.bench.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.berylwick.bench.soak.SoakJudge.Breach;
import org.berylwick.bench.soak.SoakJudge.Sent;
import org.berylwick.bench.soak.SoakJudge.Verdict;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TimeSource;
import org.berylwick.standin.backend.Content;

/** Sends requests of every kind through random daemons at an even rate, and checks each answer to the last byte. */
final class CheckingClient implements AutoCloseable {
    private static final long GRACE_MILLIS = 4_000;
    private static final int CHUNK_BYTES = 16 << 10;
    private static final int PERCENT = 100;
    private static final String REQUEST_ID = "x-request-id";

    private final SoakFleet fleet;
    private final SoakJudge judge;
    private final String prefix;
    private final Random random;
    private final AtomicLong number = new AtomicLong();
    private final AtomicLong running = new AtomicLong();
    private final TimeSource time = TimeSource.SYSTEM;
    private final ScheduledExecutorService watchdog = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().name("watchdog").daemon(true).factory());
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .executor(Executors.newVirtualThreadPerTaskExecutor())
            .build();

    CheckingClient(SoakFleet fleet, SoakJudge judge, String prefix, long seed) {
        this.prefix = prefix;
        this.fleet = fleet;
        this.judge = judge;
        this.random = new Random(seed);
    }

    /** Sends at {@code perSecond} until the deadline, then waits for what is still running. */
    void run(int perSecond, Deadline until) throws InterruptedException {
        long gap = TimeUnit.SECONDS.toNanos(1) / perSecond;
        long due = time.nanoTime();
        while (!until.isPast(time)) {
            send(SoakTraffic.Kind.draw(random.nextInt(PERCENT)));
            due += gap;
            long wait = due - time.nanoTime();
            if (wait > 0) {
                TimeUnit.NANOSECONDS.sleep(wait);
            }
        }
        Deadline patience = Deadline.afterMillis(time, SoakTraffic.Kind.BULK.timeoutMillis() + 2 * GRACE_MILLIS);
        while (running.get() > 0 && !patience.isPast(time)) {
            Thread.sleep(100);
        }
    }

    private void send(SoakTraffic.Kind kind) {
        SoakTraffic.Brand brand = SoakTraffic.BRANDS.get(random.nextInt(SoakTraffic.BRANDS.size()));
        long n = number.incrementAndGet();
        String key = kind == SoakTraffic.Kind.KEYED_CONFIRMATION ? prefix + "-key-" + n : "";
        Call first = new Call(kind, brand, n, prefix + "-" + n, key, anyNode());
        if (key.isEmpty()) {
            start(first::run);
            return;
        }
        Call again = new Call(kind, brand, n, prefix + "-" + n + "-again", key, anyNode());
        if (random.nextBoolean()) {
            start(first::run);
            start(again::run);
        } else {
            start(() -> {
                first.run();
                again.run();
            });
        }
    }

    private SoakNode anyNode() {
        return fleet.nodes().get(random.nextInt(fleet.nodes().size()));
    }

    private void start(Runnable call) {
        running.incrementAndGet();
        Thread.ofVirtual().start(() -> {
            try {
                call.run();
            } finally {
                running.decrementAndGet();
            }
        });
    }

    private final class Call {
        private final SoakTraffic.Kind kind;
        private final SoakTraffic.Brand brand;
        private final long n;
        private final SoakNode entry;
        private final String id;
        private final String key;
        private Sent sent;
        private volatile boolean overdue;

        Call(SoakTraffic.Kind kind, SoakTraffic.Brand brand, long n, String id, String key, SoakNode entry) {
            this.kind = kind;
            this.brand = brand;
            this.n = n;
            this.entry = entry;
            this.id = id;
            this.key = key;
        }

        void run() {
            sent = new Sent(id, key, kind, time.nanoTime());
            long patience = kind.timeoutMillis() + GRACE_MILLIS;
            try {
                HttpResponse<InputStream> answer =
                        http.send(request(patience), HttpResponse.BodyHandlers.ofInputStream());
                try (InputStream body = answer.body()) {
                    ScheduledFuture<?> watch = watchdog.schedule(() -> giveUp(body), patience, TimeUnit.MILLISECONDS);
                    check(answer, body);
                    watch.cancel(false);
                }
            } catch (ConnectException e) {
                settle(Verdict.UNREACHED, e.toString());
            } catch (HttpTimeoutException e) {
                settle(Verdict.OVERDUE, "no head");
            } catch (IOException e) {
                settle(overdue ? Verdict.OVERDUE : Verdict.CUT, e.toString());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void giveUp(InputStream body) {
            overdue = true;
            Thread.ofVirtual().start(() -> {
                try {
                    body.close();
                } catch (IOException e) {
                    // The reader sees the end of the body in any case.
                }
            });
        }

        private HttpRequest request(long patience) {
            String uri = "http://" + fleet.addresses(entry).callers() + kind.path(n);
            HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(uri))
                    .timeout(Duration.ofMillis(patience))
                    .header("host", brand.host())
                    .header(REQUEST_ID, sent.id())
                    .header("x-request-timeout-ms", Long.toString(kind.timeoutMillis()));
            if (!sent.key().isEmpty()) {
                request.header("idempotency-key", sent.key());
            }
            return kind.idempotent()
                    ? request.GET().build()
                    : request.POST(HttpRequest.BodyPublishers.ofString("placement " + n))
                            .build();
        }

        private void check(HttpResponse<InputStream> answer, InputStream body) throws IOException {
            if (answer.statusCode() == 200 && kind == SoakTraffic.Kind.BULK) {
                checkBulk(answer, body);
                return;
            }
            String text = new String(body.readAllBytes(), StandardCharsets.UTF_8);
            if (answer.statusCode() == 200) {
                checkEcho(answer, text);
            } else if (text.contains("\"not-run\"")) {
                settle(Verdict.NOT_RUN, text);
            } else if (answer.statusCode() == 409 && !sent.key().isEmpty()) {
                settle(Verdict.CONFLICT, text);
            } else if (answer.statusCode() == 502 || answer.statusCode() == 504) {
                settle(Verdict.UNKNOWN, answer.statusCode() + " " + text);
            } else {
                settle(Verdict.OTHER, answer.statusCode() + " " + text);
            }
        }

        private void checkBulk(HttpResponse<InputStream> answer, InputStream body) throws IOException {
            Content content = new Content("/artwork/" + n);
            byte[] chunk = body.readNBytes(CHUNK_BYTES);
            long offset = 0;
            while (chunk.length > 0) {
                long wrong = content.firstWrong(chunk, offset);
                if (wrong >= 0) {
                    judge.breach(Breach.ANSWERS_WRONG, sent.id() + " at byte " + wrong);
                    settle(Verdict.OTHER, "wrong content");
                    return;
                }
                offset += chunk.length;
                chunk = body.readNBytes(CHUNK_BYTES);
            }
            if (offset != SoakTraffic.BULK_BYTES) {
                if (!overdue) {
                    judge.breach(Breach.ANSWERS_CUT_UNSEEN, sent.id() + " ended after " + offset + " bytes");
                }
                settle(overdue ? Verdict.OVERDUE : Verdict.CUT, "short body");
                return;
            }
            checkId(answer);
        }

        private void checkEcho(HttpResponse<InputStream> answer, String text) {
            String path = kind.path(n).replaceAll("\\?.*", "");
            String first = prefix + "-" + n;
            // The repeat of a keyed request may be answered with the first one's answer, and the other way round.
            boolean own = text.contains(field("path", path))
                    && text.contains(field("brand", brand.name()))
                    && (text.contains(field("requestId", first))
                            || text.contains(field("requestId", first + "-again")));
            if (!own) {
                judge.breach(Breach.ANSWERS_WRONG, sent.id() + " got " + text);
                settle(Verdict.OTHER, "wrong answer");
                return;
            }
            if (!text.endsWith("}")) {
                judge.breach(Breach.ANSWERS_CUT_UNSEEN, sent.id() + " got " + text);
            }
            checkId(answer);
        }

        private static String field(String name, String value) {
            return "\"" + name + "\":\"" + value + "\"";
        }

        private void checkId(HttpResponse<InputStream> answer) {
            String id = answer.headers().firstValue(REQUEST_ID).orElse("");
            if (!id.equals(sent.id()) && sent.key().isEmpty()) {
                judge.breach(Breach.ANSWERS_WRONG, sent.id() + " was answered as " + id);
                settle(Verdict.OTHER, "wrong id");
                return;
            }
            settle(Verdict.ANSWERED, "");
        }

        private void settle(Verdict verdict, String detail) {
            judge.settle(sent, verdict, detail + " via " + entry.name());
        }
    }

    @Override
    public void close() {
        watchdog.shutdownNow();
        http.shutdownNow();
    }
}
