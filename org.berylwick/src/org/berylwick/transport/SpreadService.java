package org.berylwick.transport;

import com.google.protobuf.ByteString;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Member;
import org.berylwick.lib.TimeSource;
import org.berylwick.proto.FetchVersionRequest;
import org.berylwick.proto.PeerMessage;
import org.berylwick.proto.ProbeReply;
import org.berylwick.proto.ProbeRequest;
import org.berylwick.proto.SpreadGrpc;
import org.berylwick.proto.VersionChunk;

/** Serves other daemons: streams, versions and probes. */
public final class SpreadService extends SpreadGrpc.SpreadImplBase implements AutoCloseable {
    private static final int CHUNK_BYTES = 64 << 10;
    private static final long INDIRECT_PROBE_MILLIS = 800;

    private final Supplier<Member> self;
    private final LongFunction<Optional<byte[]>> versions;
    private final PeerStream.Listener listener;
    private final PeerClient client;
    private final TimeSource time;
    private final ExecutorService encoder = Executors.newSingleThreadExecutor(
            Thread.ofPlatform().name("version-encoder").daemon(true).factory());

    /**
     * A service of one daemon.
     *
     * @param versions encodes the version in force against a base version's number
     * @param listener takes the streams that peers open
     */
    public SpreadService(
            Supplier<Member> self,
            LongFunction<Optional<byte[]>> versions,
            PeerStream.Listener listener,
            PeerClient client,
            TimeSource time) {
        this.self = self;
        this.versions = versions;
        this.listener = listener;
        this.client = client;
        this.time = time;
    }

    @Override
    public StreamObserver<PeerMessage> exchange(StreamObserver<PeerMessage> out) {
        return new IncomingStream((ServerCallStreamObserver<PeerMessage>) out, listener);
    }

    private static final class IncomingStream implements PeerStream, StreamObserver<PeerMessage> {
        private final ServerCallStreamObserver<PeerMessage> call;
        private final Listener listener;
        private final AtomicBoolean ended = new AtomicBoolean();

        private IncomingStream(ServerCallStreamObserver<PeerMessage> call, Listener listener) {
            this.call = call;
            this.listener = listener;
            call.setOnCancelHandler(() -> end("cancelled by the peer"));
        }

        private void end(String reason) {
            if (ended.compareAndSet(false, true)) {
                listener.closed(this, reason);
            }
        }

        @Override
        public boolean isReady() {
            return call.isReady();
        }

        @Override
        public synchronized void send(PeerMessage message) {
            if (ended.get() || call.isCancelled()) {
                return;
            }
            try {
                call.onNext(message);
            } catch (IllegalStateException e) {
                end("cannot send: " + e.getMessage());
            }
        }

        @Override
        public synchronized void close() {
            if (ended.compareAndSet(false, true) && !call.isCancelled()) {
                call.onCompleted();
            }
        }

        @Override
        public void onNext(PeerMessage message) {
            listener.received(this, message);
        }

        @Override
        public void onError(Throwable failure) {
            end(String.valueOf(failure.getMessage()));
        }

        @Override
        public void onCompleted() {
            end("closed by the peer");
            if (!call.isCancelled()) {
                call.onCompleted();
            }
        }
    }

    @Override
    public void fetchVersion(FetchVersionRequest request, StreamObserver<VersionChunk> out) {
        encoder.execute(() -> {
            Optional<byte[]> gzip = versions.apply(request.getBaseVersion());
            if (gzip.isEmpty()) {
                out.onError(Status.FAILED_PRECONDITION
                        .withDescription("no version in force here")
                        .asRuntimeException());
                return;
            }
            byte[] bytes = gzip.get();
            for (int at = 0; at < bytes.length; at += CHUNK_BYTES) {
                int length = Math.min(CHUNK_BYTES, bytes.length - at);
                out.onNext(VersionChunk.newBuilder()
                        .setGzip(ByteString.copyFrom(bytes, at, length))
                        .build());
            }
            out.onCompleted();
        });
    }

    @Override
    public void probe(ProbeRequest request, StreamObserver<ProbeReply> out) {
        if (request.getTarget().isEmpty()) {
            Member me = self.get();
            reply(
                    out,
                    ProbeReply.newBuilder()
                            .setInstance(me.instance())
                            .setIncarnation(me.incarnation())
                            .build());
            return;
        }
        HostPort target;
        try {
            target = HostPort.fromString(request.getTarget());
        } catch (IllegalArgumentException e) {
            out.onError(Status.INVALID_ARGUMENT.withDescription(e.getMessage()).asRuntimeException());
            return;
        }
        client.probe(target, Deadline.afterMillis(time, INDIRECT_PROBE_MILLIS))
                .thenAccept(answer -> reply(out, answer.orElse(ProbeReply.getDefaultInstance())));
    }

    private static void reply(StreamObserver<ProbeReply> out, ProbeReply reply) {
        out.onNext(reply);
        out.onCompleted();
    }

    @Override
    public void close() {
        encoder.shutdownNow();
    }
}
