package org.berylwick.standin.objects;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Spoils responses: second responses to an earlier request, whole or cut at any byte, while a connection is idle or in
 * front of the next response; responses that break off within their head, or whose head is invalid; failures. Safe for
 * use by many threads.
 */
public final class ResponseFaults {
    /** Spoils nothing. */
    public static final ResponseFaults NONE = new ResponseFaults(0, line -> {}, false);

    private static final double FAILURE_SHARE = 0.3;
    private static final double BREAK_OFF_SHARE = 0.05;
    private static final double WHOLE_SHARE = 0.25;
    private static final double SECOND_WHILE_IDLE_SHARE = 0.2;
    private static final double SECOND_BEFORE_WORK_SHARE = 0.1;
    private static final double SECOND_BEFORE_RESPONSE_SHARE = 0.1;
    private static final double INVALID_HEAD_SHARE = 0.05;
    private static final List<String> INVALID_STATUSES = List.of("000", "099", "600", "999", "1000");
    private static final List<String> INVALID_LINES = List.of(
            "X Pad: 1", "X\tPad: 1", "X-Pad : 1", "X\u0001Pad: 1", "X-Not-Executed : 1", "Transfer-Encoding : chunked");
    private static final long INVALID_HEADS_SEED_OFFSET = 1;
    private static final int MAX_IDLE_MILLIS = 60;
    private static final int MAX_LOGGED_BYTES = 300;
    private static final String SUCCESS = "200 OK";
    private static final String FAILURE = "500 Internal Server Error";
    private static final String[] REFUSALS = {
        "503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"
    };

    private final Random random;
    private final Random invalidHeads;
    private final Consumer<String> log;
    private final boolean active;

    /** Where a response breaks off. */
    private enum Cut {
        STATUS_LINE,
        HEADER_NAME,
        HEADER_VALUE,
        LINE_END,
        BODY
    }

    /**
     * Faults with shares of their own.
     *
     * @param seed of all draws
     * @param log receives a line for each fault
     */
    public ResponseFaults(long seed, Consumer<String> log) {
        this(seed, log, true);
    }

    private ResponseFaults(long seed, Consumer<String> log, boolean active) {
        this.random = new Random(seed);
        this.invalidHeads = new Random(seed + INVALID_HEADS_SEED_OFFSET);
        this.log = log;
        this.active = active;
    }

    private boolean draw(double share) {
        return active && random.nextDouble() < share;
    }

    boolean drawFailure() {
        return draw(FAILURE_SHARE);
    }

    boolean drawBreakOff() {
        return draw(BREAK_OFF_SHARE);
    }

    /** The next request was read. */
    void beforeWork(ServedConnection connection) throws IOException {
        if (draw(SECOND_BEFORE_WORK_SHARE)) {
            sendSecond(connection, "before work");
        }
    }

    /** The response to the next request is due. */
    void beforeResponse(ServedConnection connection) throws IOException {
        if (draw(SECOND_BEFORE_RESPONSE_SHARE)) {
            sendSecond(connection, "before response");
        }
    }

    /** Sends a whole response; the connection is idle then, and may get a second one. */
    void respond(ServedConnection connection, ServedConnection.Request request, byte[] response) throws IOException {
        if (connection.isDirty()) {
            log.accept(connection + " response to " + request.id() + " follows: " + describe("WHOLE", response));
        }
        connection.respond(request, drawInvalidHead(connection, request, response));
        if (draw(SECOND_WHILE_IDLE_SHARE)) {
            int millis = random.nextInt(MAX_IDLE_MILLIS);
            Second second = drawSecond(request);
            Thread.ofVirtual().start(() -> sendWhileIdle(connection, second, millis));
        }
    }

    private byte[] drawInvalidHead(ServedConnection connection, ServedConnection.Request request, byte[] response) {
        if (!active || invalidHeads.nextDouble() >= INVALID_HEAD_SHARE) {
            return response;
        }
        String text = new String(response, StandardCharsets.ISO_8859_1);
        String invalid;
        if (invalidHeads.nextBoolean()) {
            String status = INVALID_STATUSES.get(invalidHeads.nextInt(INVALID_STATUSES.size()));
            invalid = text.replaceFirst("^(HTTP/1.1) [0-9]+", "$1 " + status);
        } else {
            String line = INVALID_LINES.get(invalidHeads.nextInt(INVALID_LINES.size()));
            invalid = text.replaceFirst("\r\n", "\r\n" + line + "\r\n");
        }
        byte[] bytes = invalid.getBytes(StandardCharsets.ISO_8859_1);
        log.accept(connection + " response to " + request.id() + ": " + describe("INVALID", bytes));
        return bytes;
    }

    private void sendWhileIdle(ServedConnection connection, Second second, int millis) {
        try {
            Thread.sleep(millis);
            if (connection.sendExtraIfIdle(second.bytes())) {
                log.accept(connection + " idle: " + second.description());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            log.accept(connection + " was closed before: " + second.description());
        }
    }

    private void sendSecond(ServedConnection connection, String moment) throws IOException {
        Optional<ServedConnection.Request> earlier = connection.responded();
        if (earlier.isEmpty()) {
            return;
        }
        Second second = drawSecond(earlier.get());
        log.accept(connection + " " + moment + ": " + second.description());
        connection.sendExtra(second.bytes());
    }

    /** Sends a response up to a byte within its head, and resets the connection or leaves it to be closed. */
    void breakOff(ServedConnection connection, String id, byte[] response) throws IOException {
        Cut cut = Cut.values()[random.nextInt(Cut.BODY.ordinal())];
        byte[] part = Arrays.copyOf(response, drawLength(response, cut));
        boolean reset = random.nextBoolean();
        log.accept(connection + (reset ? " reset" : " closed") + " within the response to " + id + ": "
                + describe(cut.toString(), part));
        connection.sendExtra(part);
        if (reset) {
            connection.socket().setSoLinger(true, 0);
        }
    }

    private record Second(byte[] bytes, String description) {}

    private Second drawSecond(ServedConnection.Request earlier) {
        int kind = random.nextInt(3);
        boolean refusal = kind == 2;
        String status = refusal ? REFUSALS[random.nextInt(REFUSALS.length)] : kind == 1 ? FAILURE : SUCCESS;
        byte[] body = kind == 0 ? earlier.success() : RunBook.failureOf(earlier.id());
        List<String> headers = new ArrayList<>();
        headers.add(refusal ? "X-Not-Executed: 1" : RunBook.SIGNATURE_HEADER + ": " + RunBook.signature(body));
        if (random.nextBoolean()) {
            headers.add(random.nextInt(2), "X-Request-Id: " + earlier.id());
        }
        byte[] whole = RawHttp.response(status, String.join("\r\n", headers), body);
        String what = "second response to " + earlier.id() + ", ";
        if (random.nextDouble() < WHOLE_SHARE) {
            return new Second(whole, what + describe("WHOLE", whole));
        }
        Cut cut = Cut.values()[random.nextInt(Cut.values().length)];
        byte[] part = Arrays.copyOf(whole, drawLength(whole, cut));
        return new Second(part, what + describe(cut.toString(), part));
    }

    private static String describe(String cut, byte[] bytes) {
        String text = new String(bytes, 0, Math.min(bytes.length, MAX_LOGGED_BYTES), StandardCharsets.US_ASCII);
        return cut + ", " + bytes.length + " bytes: "
                + text.replace("\r", "\\r").replace("\n", "\\n");
    }

    /** Draws how many bytes of a response come before a cut. */
    private int drawLength(byte[] response, Cut cut) {
        String text = new String(response, StandardCharsets.US_ASCII);
        int headLength = text.indexOf("\r\n\r\n") + 4;
        if (cut == Cut.BODY) {
            return headLength + random.nextInt(response.length - headLength);
        }
        List<Integer> lineStarts = new ArrayList<>();
        for (int start = 0; start < headLength; start = text.indexOf("\r\n", start) + 2) {
            lineStarts.add(start);
        }
        if (cut == Cut.STATUS_LINE) {
            return 1 + random.nextInt(lineStarts.get(1) - 2);
        }
        if (cut == Cut.LINE_END) {
            // After the line feed, or between the two characters.
            return lineStarts.get(1 + random.nextInt(lineStarts.size() - 1)) - random.nextInt(2);
        }
        int start = lineStarts.get(1 + random.nextInt(lineStarts.size() - 2));
        int colon = text.indexOf(':', start);
        return cut == Cut.HEADER_NAME
                ? start + 1 + random.nextInt(colon - start)
                : colon + 2 + random.nextInt(text.indexOf("\r\n", start) - colon - 1);
    }
}
