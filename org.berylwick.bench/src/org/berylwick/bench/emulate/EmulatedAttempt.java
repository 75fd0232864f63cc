package org.berylwick.bench.emulate;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.berylwick.node.call.Attempt;
import org.berylwick.node.call.AttemptListener;
import org.berylwick.node.call.CallSpec;
import org.berylwick.node.call.Owner;
import org.berylwick.node.call.Refusal;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.member.Member;

/** An attempt at another node's owner: all that is said takes the way between the two. */
final class EmulatedAttempt implements Attempt, AttemptListener, Member.Waiting {
    private static final int HEADER_BYTES = 700;

    private final Emulation emulation;
    private final Member member;
    private final long wayNanos;
    private final AttemptListener listener;
    private final boolean sameZone;
    private Optional<Attempt> there = Optional.empty();
    private int answerBytes;
    private boolean over;
    private boolean ended;

    EmulatedAttempt(Emulation emulation, Member member, long wayNanos, AttemptListener listener, boolean sameZone) {
        this.emulation = emulation;
        this.member = member;
        this.wayNanos = wayNanos;
        this.listener = listener;
        this.sameZone = sameZone;
    }

    void start(Owner owner, CallSpec call, RequestKind kind) {
        member.onSent(this);
        answerBytes = kind.bytes().answer();
        count(HEADER_BYTES + kind.bytes().body());
        emulation.clock().after(wayNanos, () -> {
            if (!over) {
                there = Optional.of(owner.offer(call, this));
            }
        });
    }

    private void count(long bytes) {
        if (!sameZone) {
            emulation.outcomes().onCrossZone(bytes);
        }
    }

    private void later(Runnable told) {
        emulation.clock().after(wayNanos, () -> {
            if (!over) {
                told.run();
            }
        });
    }

    private void done() {
        if (!over) {
            over = true;
            member.onDone(this);
        }
    }

    @Override
    public void onHead(int status, HttpHeaders headers, OwnerLoad load) {
        count(HEADER_BYTES + answerBytes);
        later(() -> {
            member.learn(load);
            listener.onHead(status, headers, load);
        });
    }

    @Override
    public void onBody(ByteBuf part) {
        emulation.clock().after(wayNanos, () -> {
            if (over) {
                part.release();
            } else {
                listener.onBody(part);
            }
        });
    }

    @Override
    public void onEnd() {
        ended = true;
        later(() -> {
            member.onSuccess();
            done();
            listener.onEnd();
        });
    }

    @Override
    public void onRefused(Refusal refusal) {
        ended = true;
        later(() -> {
            member.learn(refusal.load());
            done();
            listener.onRefused(refusal);
        });
    }

    @Override
    public void onLost(String cause) {
        ended = true;
        later(() -> {
            done();
            listener.onLost(cause);
        });
    }

    @Override
    public void cancel() {
        if (over) {
            return;
        }
        done();
        emulation.clock().after(wayNanos, () -> {
            if (!ended) {
                there.ifPresent(Attempt::cancel);
            }
        });
    }

    @Override
    public void readOn(boolean on) {}

    @Override
    public void onSilent() {}
}
