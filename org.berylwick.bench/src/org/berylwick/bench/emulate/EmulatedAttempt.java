package org.berylwick.bench.emulate;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.berylwick.node.call.Attempt;
import org.berylwick.node.call.AttemptListener;
import org.berylwick.node.call.CallSpec;
import org.berylwick.node.call.Loss;
import org.berylwick.node.call.Refusal;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.member.Member;
import org.berylwick.node.transport.OutgoingLink;
import org.berylwick.node.transport.RequestBody;

/** An attempt at another node's owner: all that is said takes the way between the two, and their links. */
final class EmulatedAttempt implements Attempt, AttemptListener, Member.PendingRequest {
    private static final int HEADER_BYTES = 700;
    private static final int ASK_BYTES = 100;
    /** What is behind the answer's head and part of the answer. */
    private static final int END_BYTES = 0;

    private final Emulation emulation;
    private final Member member;
    private final EmulatedNode from;
    private final EmulatedNode to;
    private final EmulatedWay there;
    private final EmulatedWay back;
    /** Carries a large answer. */
    private final EmulatedWay.Stream stream;

    private final AttemptListener listener;
    private final boolean sameZone;
    private Optional<Attempt> attempt = Optional.empty();
    private Optional<RequestBody> body = Optional.empty();
    private Optional<EmulatedWay.BodyFlow> flow = Optional.empty();
    private boolean over;
    private boolean ended;
    private long dueAt;
    private int answerBytes;
    private Optional<OutgoingLink.Flow> answer = Optional.empty();

    EmulatedAttempt(Emulation emulation, Member member, EmulatedNode from, EmulatedNode to, AttemptListener listener) {
        this.emulation = emulation;
        this.member = member;
        this.from = from;
        this.to = to;
        long nanos = emulation.wayNanos(from, to);
        this.there = new EmulatedWay(emulation, Optional.of(from.out()), Optional.of(to.in()), nanos);
        this.back = new EmulatedWay(emulation, Optional.of(to.out()), Optional.of(from.in()), nanos);
        this.stream = back.open();
        this.listener = listener;
        this.sameZone = from.place().zone().equals(to.place().zone());
    }

    void start(CallSpec call, RequestKind kind) {
        dueAt = call.objectiveAt();
        answerBytes = kind.bytes().answer();
        member.onRequestSent(
                this,
                call.body().length(),
                call.expectedResponseBytes(),
                emulation.clock().now());
        boolean streamed = call.body().length() >= RequestBody.MIN_STREAMED_BYTES;
        int withHead = HEADER_BYTES + (streamed ? 0 : call.body().length());
        boolean asked =
                member.linkLoad(emulation.clock().now()).isLarge(call.body().length());
        count(HEADER_BYTES + (asked ? 0 : call.body().length()));
        RequestBody arriving = streamed ? arriving(call.body(), asked) : call.body();
        from.link().outgoing().recordSmallWrite(withHead);
        there.send(withHead, () -> {
            if (!over) {
                attempt = Optional.of(to.owner().offer(call.withBody(arriving), this));
            }
        });
        if (streamed) {
            body = Optional.of(arriving);
            if (!asked) {
                flow = Optional.of(there.flow(call.body(), arriving));
            }
        }
    }

    private RequestBody arriving(RequestBody from, boolean asked) {
        if (!asked) {
            return RequestBody.incoming(from.length(), to.link().incoming());
        }
        return RequestBody.deferred(
                from.length(),
                to.link().incoming(),
                () -> later(ASK_BYTES, () -> {
                    count(from.length());
                    flow = Optional.of(there.flow(from, body.orElseThrow()));
                }));
    }

    private void count(long bytes) {
        if (!sameZone) {
            emulation.outcomes().onCrossZone(bytes);
        }
    }

    private void later(int bytes, Runnable told) {
        back.send(bytes, () -> {
            if (!over) {
                told.run();
            }
        });
    }

    private void done() {
        if (!over) {
            over = true;
            member.onRequestEnded(this);
            stopBody();
        }
    }

    private void stopBody() {
        flow.ifPresent(EmulatedWay.BodyFlow::stop);
        body.ifPresent(RequestBody::release);
    }

    @Override
    public void onHead(int status, HttpHeaders headers, OwnerLoad load) {
        boolean large = to.link().outgoing().isLarge(answerBytes);
        int withHead = HEADER_BYTES + (large ? 0 : answerBytes);
        if (large) {
            BackWire wire = new BackWire();
            OutgoingLink.Flow flowBack = to.link().outgoing().openFlow(wire, dueAt);
            wire.tell(flowBack);
            answer = Optional.of(flowBack);
        } else {
            to.link().outgoing().recordSmallWrite(withHead);
        }
        count(withHead);
        later(withHead, () -> {
            member.updateLoad(load, emulation.clock().now());
            listener.onHead(status, headers, load);
        });
    }

    @Override
    public void onBody(ByteBuf part) {
        if (answer.isPresent()) {
            answer.get().write(part);
        } else {
            back.send(END_BYTES, () -> deliver(part));
        }
    }

    private void deliver(ByteBuf part) {
        if (over) {
            part.release();
        } else {
            listener.onBody(part);
        }
    }

    /** The connection from the owner to the entry. */
    private final class BackWire extends EmulatedWire {
        BackWire() {
            super(stream);
        }

        @Override
        public void write(ByteBuf part) {
            count(part.readableBytes());
            stream.send(part.readableBytes(), () -> deliver(part));
        }

        @Override
        public void setSourceReading(boolean on) {
            attempt.ifPresent(a -> a.setAutoRead(on));
        }
    }

    @Override
    public void onEnd() {
        ended = true;
        if (answer.isPresent()) {
            answer.get().finish(() -> stream.send(END_BYTES, this::endLater));
        } else {
            later(END_BYTES, this::endNow);
        }
    }

    private void endLater() {
        if (!over) {
            endNow();
        }
    }

    private void endNow() {
        member.onSuccess();
        done();
        listener.onEnd();
    }

    @Override
    public void onRefused(Refusal refusal) {
        ended = true;
        to.link().outgoing().recordSmallWrite(HEADER_BYTES);
        later(HEADER_BYTES, () -> {
            member.updateLoad(refusal.load(), emulation.clock().now());
            done();
            listener.onRefused(refusal);
        });
    }

    @Override
    public void onLost(Loss loss) {
        ended = true;
        to.link().outgoing().recordSmallWrite(HEADER_BYTES);
        later(HEADER_BYTES, () -> {
            done();
            listener.onLost(loss);
        });
    }

    @Override
    public void cancel() {
        if (over) {
            return;
        }
        done();
        there.send(END_BYTES, () -> {
            answer.ifPresent(OutgoingLink.Flow::cancel);
            if (!ended) {
                attempt.ifPresent(Attempt::cancel);
            }
        });
    }

    @Override
    public void setAutoRead(boolean on) {}

    @Override
    public void onMemberSilent() {}
}
