package org.berylwick.bench.emulate;

import io.netty.buffer.Unpooled;
import java.util.Optional;
import org.berylwick.node.call.CallHandle;
import org.berylwick.node.lib.Clock;
import org.berylwick.node.lib.OrganisationTag;
import org.berylwick.node.transport.RequestBody;

/**
 * A caller with one thing to ask: sends it, comes back as told after a refusal, asks again at once after a failure if
 * that may be, and leaves at its deadline.
 */
final class EmulatedCaller {
    private static final int OK = 200;
    private static final int REFUSED = 503;
    private static final int HEADER_BYTES = 400;

    private final Emulation emulation;
    private final EmulatedNode node;
    private final RequestKind kind;
    private final long askedAt;
    private final long deadlineAt;
    private final long workNanos;
    private final boolean makesCall;
    private final String path;
    private final OrganisationTag organisation;
    private String id = "";
    private long sentAt;
    private int attempts;
    private boolean wasRefused;
    private boolean over;
    private Optional<CallHandle> call = Optional.empty();
    private Optional<EmulatedSink> sink = Optional.empty();
    private Optional<EmulatedWay.BodyFlow> flow = Optional.empty();
    private final Clock.Timer leaves;

    EmulatedCaller(
            Emulation emulation, EmulatedNode node, RequestKind kind, String path, OrganisationTag organisation) {
        this.emulation = emulation;
        this.node = node;
        this.kind = kind;
        this.path = path;
        this.organisation = organisation;
        this.askedAt = emulation.clock().now();
        this.deadlineAt = askedAt + kind.deadlineNanos();
        this.workNanos = emulation.drawWork(kind);
        this.makesCall = emulation.drawCall(kind);
        this.leaves = emulation.clock().schedule(deadlineAt, this::onDeadline);
    }

    void send() {
        attempts++;
        sentAt = emulation.clock().now();
        long left = deadlineAt - sentAt;
        long nanos = emulation.callerWayNanos();
        EmulatedWay there = new EmulatedWay(emulation, Optional.empty(), Optional.of(node.in()), nanos);
        // Callers are on the same VM, and their answers do not pass its link.
        EmulatedWay back = new EmulatedWay(emulation, Optional.empty(), Optional.empty(), nanos);
        int bytes = kind.bytes().body();
        boolean streamed = bytes >= RequestBody.MIN_STREAMED_BYTES;
        there.send(HEADER_BYTES + (streamed ? 0 : bytes), () -> {
            if (over) {
                return;
            }
            id = emulation.add(new EmulatedRequest(
                    kind, workNanos, makesCall, emulation.clock().now(), path));
            EmulatedSink next = new EmulatedSink((status, retryAfter, body) -> {
                call = Optional.empty();
                body.release();
                int answerBytes = status == OK ? kind.bytes().answer() : 0;
                back.send(HEADER_BYTES + answerBytes, () -> onAnswer(status, retryAfter));
            });
            sink = Optional.of(next);
            RequestBody body = streamed
                    ? RequestBody.incoming(bytes, node.link().incoming())
                    : RequestBody.of(Unpooled.wrappedBuffer(new byte[bytes]));
            flow.ifPresent(EmulatedWay.BodyFlow::stop);
            flow = streamed ? Optional.of(there.flow(body)) : Optional.empty();
            call = Optional.of(node.call(id, kind, organisation, left, body, next));
        });
    }

    private void onAnswer(int status, double retryAfter) {
        if (over) {
            return;
        }
        EmulatedRequest request = emulation.request(id);
        emulation.forget(id);
        if (status == OK) {
            long took = emulation.clock().now() - askedAt;
            emulation.outcomes().onAnswer(kind.name(), took);
            end(took <= kind.objectiveNanos() ? Outcomes.End.IN_TIME : Outcomes.End.LATE);
            return;
        }
        boolean refused = status == REFUSED;
        account(request, refused);
        long left = deadlineAt - emulation.clock().now();
        boolean again =
                attempts <= kind.callerRetries() && (refused || kind.kind().isRetryable()) && left > 0;
        if (!again) {
            Outcomes.End refusal = wasRefused ? Outcomes.End.REFUSED_AGAIN : Outcomes.End.REFUSED;
            end(refused ? refusal : Outcomes.End.FAILED);
            return;
        }
        wasRefused |= refused;
        long wait =
                refused && !emulation.returnsAtOnce(organisation) ? Math.min((long) (retryAfter * 1e9), left / 3) : 0;
        emulation.clock().after(wait, () -> {
            if (!over) {
                send();
            }
        });
    }

    private void account(EmulatedRequest request, boolean refused) {
        if (refused) {
            emulation.outcomes().onRefusal(emulation.clock().now() - sentAt - 2 * emulation.callerWayNanos());
            if (request.runs() > 0) {
                throw new IllegalStateException("refused as not run, though it ran: " + id);
            }
        } else if (request.runs() > 0) {
            emulation.outcomes().onWastedRun();
        }
    }

    private void onDeadline() {
        if (over) {
            return;
        }
        sink.ifPresent(EmulatedSink::close);
        call.ifPresent(CallHandle::abandon);
        emulation.forget(id);
        end(Outcomes.End.FAILED);
    }

    private void end(Outcomes.End how) {
        over = true;
        flow.ifPresent(EmulatedWay.BodyFlow::stop);
        leaves.cancel();
        if (!path.equals(Emulation.crashingPath(kind))) {
            emulation.outcomes().onEnd(kind, organisation, askedAt, how);
        }
    }
}
