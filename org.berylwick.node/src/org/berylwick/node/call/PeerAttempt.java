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
import org.berylwick.node.transport.OutgoingLink;
import org.berylwick.node.transport.ServerConnection;

/** One attempt to run a request at the owner on another node; confined to the event loop. */
final class PeerAttempt implements Attempt, HttpResponseHandler, Member.PendingRequest {
    /**
     * Idle time after which a connection to another node is not reused. The entry node closes idle connections, not the
     * owner.
     */
    static final long MAX_IDLE_NANOS = 20_000_000_000L;

    private final Member member;
    private final CallSpec call;
    private final AttemptListener listener;
    private ServerConnection connection;
    private boolean finished;
    private Optional<PeerCodec.Outcome> outcome = Optional.empty();

    private PeerAttempt(Member member, CallSpec call, AttemptListener listener) {
        this.member = member;
        this.call = call;
        this.listener = listener;
    }

    /**
     * Starts an attempt; the request is sent as soon as a connection is available.
     *
     * @param link outgoing link of this VM, which the request takes time on
     */
    static PeerAttempt start(Member member, CallSpec call, OutgoingLink link, AttemptListener listener) {
        PeerAttempt attempt = new PeerAttempt(member, call, listener);
        link.recordSmallWrite(OutgoingLink.MESSAGE_HEAD_BYTES + call.body().length());
        member.onRequestSent(attempt, call.body().length(), call.expectedResponseBytes(), System.nanoTime());
        member.pool().acquire(MAX_IDLE_NANOS, attempt::send, attempt::onConnectFailed);
        return attempt;
    }

    private void onConnectFailed(String cause) {
        if (finished) {
            return;
        }
        member.onFailure(cause, System.nanoTime());
        finish();
        listener.onRefused(new Refusal(Refusal.Reason.UNREACHABLE, false, OwnerLoad.NONE));
    }

    private void send(ServerConnection acquired) {
        if (finished) {
            acquired.returnUnused();
            return;
        }
        connection = acquired;
        HttpHeaders headers = Headers.copy(call.headers());
        headers.set(Headers.CALL, PeerCodec.encodeCall(call, System.nanoTime()));
        PeerCodec.encodeOrganisation(call.organisation()).ifPresent(text -> headers.set(Headers.ORGANISATION, text));
        if (call.knownCrashes() > 0) {
            headers.set(Headers.KNOWN_CRASHES, call.knownCrashes());
        }
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri(), headers);
        HttpConnection.setContentLength(head, call.body().length());
        // A large body is sent only when the owner asks for it: several at once would delay all small messages behind
        // them, and the body of a refused request would have occupied the link for nothing.
        boolean largeBody =
                member.linkLoad(System.nanoTime()).isLarge(call.body().length());
        HttpUtil.set100ContinueExpected(head, largeBody);
        acquired.send(head, call.body(), this);
    }

    @Override
    public void onMemberSilent() {
        if (finished || connection == null) {
            return;
        }
        if (connection.isRequestFullySent()) {
            listener.onNodeSilent();
            return;
        }
        // An owner never forwards an incomplete request to its backend server, and the rest of this one will not be
        // sent, so it was not run.
        connection.abort();
        onFailure("silent");
    }

    @Override
    public String requestId() {
        return call.id();
    }

    @Override
    public void onHead(HttpResponse head) {
        member.onResponseProgress(System.nanoTime());
        outcome = PeerCodec.decodeOutcome(head.headers(), System.nanoTime());
        if (outcome.orElse(null) instanceof PeerCodec.Outcome.Answered answered) {
            member.updateLoad(answered.load(), System.nanoTime());
            listener.onHead(head.status().code(), Headers.endToEnd(head.headers()), answered.load());
        }
    }

    @Override
    public void onBody(ByteBuf part) {
        member.onResponseProgress(System.nanoTime());
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
        PeerCodec.Outcome reported =
                outcome.orElse(new PeerCodec.Outcome.Lost(Loss.of("missing or malformed bw-outcome header")));
        switch (reported) {
            case PeerCodec.Outcome.Answered answered -> listener.onEnd();
            case PeerCodec.Outcome.Refused refused -> {
                member.updateLoad(refused.refusal().load(), System.nanoTime());
                listener.onRefused(refused.refusal());
            }
            case PeerCodec.Outcome.Lost lost -> listener.onLost(lost.loss());
        }
    }

    @Override
    public void onFailure(String cause) {
        boolean requestSent = connection == null || connection.isRequestFullySent();
        connection = null;
        if (finished) {
            return;
        }
        member.onFailure(cause, System.nanoTime());
        finish();
        if (requestSent) {
            listener.onLost(Loss.of("node " + member.ip() + ": " + cause));
            return;
        }
        // An owner never forwards an incomplete request to its backend server, so this one was not run.
        listener.onRefused(new Refusal(Refusal.Reason.UNREACHABLE, false, OwnerLoad.NONE));
    }

    private void finish() {
        if (!finished) {
            finished = true;
            member.onRequestEnded(this);
        }
    }

    @Override
    public void cancel() {
        if (finished) {
            return;
        }
        finish();
        if (connection != null) {
            connection.abort();
            connection = null;
        }
    }

    @Override
    public void setAutoRead(boolean autoRead) {
        if (connection != null) {
            connection.setAutoRead(autoRead);
        }
    }
}
