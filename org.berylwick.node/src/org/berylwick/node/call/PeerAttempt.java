package org.berylwick.node.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.berylwick.node.lib.OwnerLoad;
import org.berylwick.node.member.Member;
import org.berylwick.node.transport.HttpConnection;
import org.berylwick.node.transport.HttpResponseHandler;
import org.berylwick.node.transport.ServerConnection;

/** One attempt at the owner of another node; confined to the event loop. */
final class PeerAttempt implements Attempt, HttpResponseHandler, Member.Waiting {
    /** Connections between nodes are kept this long by both ends; the entry lets go of them first. */
    static final long IDLE_NANOS = 20_000_000_000L;

    private final Member member;
    private final CallSpec call;
    private final AttemptListener listener;
    private ServerConnection connection;
    private boolean over;
    private Optional<PeerCodec.Outcome> outcome = Optional.empty();

    private PeerAttempt(Member member, CallSpec call, AttemptListener listener) {
        this.member = member;
        this.call = call;
        this.listener = listener;
    }

    /** Sends a request to another node. */
    static PeerAttempt start(Member member, CallSpec call, AttemptListener listener) {
        PeerAttempt attempt = new PeerAttempt(member, call, listener);
        member.onSent(attempt, call.body().length(), call.answerBytes(), System.nanoTime());
        member.pool().acquire(IDLE_NANOS, attempt::send, attempt::onUnreachable);
        return attempt;
    }

    private void onUnreachable(String cause) {
        if (over) {
            return;
        }
        member.onFailure(cause, System.nanoTime());
        finish();
        listener.onRefused(new Refusal(Refusal.Reason.UNREACHABLE, false, OwnerLoad.NONE));
    }

    private void send(ServerConnection to) {
        if (over) {
            to.returnUnused();
            return;
        }
        connection = to;
        HttpHeaders headers = Headers.copy(call.headers());
        headers.set(Headers.CALL, PeerCodec.callText(call, System.nanoTime()));
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri(), headers);
        HttpConnection.setContentLength(head, call.body().length());
        // A large body is sent when the owner asks for it: several at once would hold up all that is small behind
        // them, and what is refused would have taken the link in vain.
        boolean large = member.link(System.nanoTime()).isLarge(call.body().length());
        HttpUtil.set100ContinueExpected(head, large);
        to.send(head, call.body(), this);
    }

    @Override
    public void onSilent() {
        if (over || connection == null) {
            return;
        }
        if (connection.isRequestFullySent()) {
            listener.onUnheard();
            return;
        }
        // An owner sends nothing on that it does not have whole, and will not get it now.
        connection.abort();
        onFailure("silent");
    }

    @Override
    public void onHead(HttpResponse head) {
        member.onProgress(System.nanoTime());
        outcome = PeerCodec.readOutcome(head.headers());
        if (outcome.orElse(null) instanceof PeerCodec.Outcome.Answered answered) {
            member.learn(answered.load(), System.nanoTime());
            listener.onHead(head.status().code(), Headers.endToEnd(head.headers()), answered.load());
        }
    }

    @Override
    public void onBody(ByteBuf part) {
        member.onProgress(System.nanoTime());
        if (outcome.orElse(null) instanceof PeerCodec.Outcome.Answered) {
            listener.onBody(part);
            return;
        }
        part.release();
    }

    @Override
    public void onEnd() {
        connection = null;
        member.onSuccess();
        finish();
        PeerCodec.Outcome told = outcome.orElse(new PeerCodec.Outcome.Lost("unreadable outcome"));
        switch (told) {
            case PeerCodec.Outcome.Answered answered -> listener.onEnd();
            case PeerCodec.Outcome.Refused refused -> {
                member.learn(refused.refusal().load(), System.nanoTime());
                listener.onRefused(refused.refusal());
            }
            case PeerCodec.Outcome.Lost lost -> listener.onLost(lost.cause());
        }
    }

    @Override
    public void onFailure(String cause) {
        boolean sentWhole = connection == null || connection.isRequestFullySent();
        connection = null;
        if (over) {
            return;
        }
        member.onFailure(cause, System.nanoTime());
        finish();
        if (sentWhole) {
            listener.onLost("node " + member.ip() + ": " + cause);
            return;
        }
        // An owner sends nothing on that it does not have whole.
        listener.onRefused(new Refusal(Refusal.Reason.UNREACHABLE, false, OwnerLoad.NONE));
    }

    private void finish() {
        if (!over) {
            over = true;
            member.onDone(this);
        }
    }

    @Override
    public void cancel() {
        if (over) {
            return;
        }
        finish();
        if (connection != null) {
            connection.abort();
            connection = null;
        }
    }

    @Override
    public void readOn(boolean on) {
        if (connection != null) {
            connection.setAutoRead(on);
        }
    }
}
