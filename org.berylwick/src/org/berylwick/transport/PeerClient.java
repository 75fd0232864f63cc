package org.berylwick.transport;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryOptions;
import com.linecorp.armeria.client.grpc.GrpcClients;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.grpc.stub.StreamObserver;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Iterator;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.berylwick.errors.PeerError;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.proto.FetchVersionRequest;
import org.berylwick.proto.PeerMessage;
import org.berylwick.proto.ProbeReply;
import org.berylwick.proto.ProbeRequest;
import org.berylwick.proto.SpreadGrpc;
import org.berylwick.proto.VersionChunk;

/** Calls the spreading service of other daemons. */
public final class PeerClient implements PeerCalls, AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration PING_INTERVAL = Duration.ofSeconds(3);
    private static final int MAX_VERSION_BYTES = 32 << 20;

    private final ClientFactory factory;
    private final TimeSource time;

    /** A client with connections of its own, apart from those of calls. */
    public PeerClient(TimeSource time, WireMeter meter) {
        this.time = time;
        factory = ClientFactory.builder()
                .connectTimeout(CONNECT_TIMEOUT)
                .idleTimeout(IDLE_TIMEOUT)
                .workerGroup(1)
                // Heartbeats keep a working connection busy, so pings go only over one that fell silent, and close it:
                // a new stream would otherwise be opened on the same dead connection again.
                .pingIntervalMillis(PING_INTERVAL.toMillis())
                .options(ClientFactoryOptions.of(
                        ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER.newValue(meter::addTo)))
                .build();
    }

    private <T> T stub(HostPort address, Class<T> type) {
        return GrpcClients.builder("gproto+h2c://" + address + "/")
                .factory(factory)
                .responseTimeoutMillis(0)
                .maxResponseLength(0)
                .build(type);
    }

    @Override
    public PeerStream open(HostPort address, PeerStream.Listener listener) {
        OutgoingStream stream = new OutgoingStream(listener);
        stub(address, SpreadGrpc.SpreadStub.class).exchange(stream);
        return stream;
    }

    private static final class OutgoingStream implements PeerStream, ClientResponseObserver<PeerMessage, PeerMessage> {
        private final Listener listener;
        private ClientCallStreamObserver<PeerMessage> call;

        private OutgoingStream(Listener listener) {
            this.listener = listener;
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<PeerMessage> started) {
            call = started;
        }

        @Override
        public boolean isReady() {
            return call.isReady();
        }

        @Override
        public synchronized void send(PeerMessage message) {
            try {
                call.onNext(message);
            } catch (IllegalStateException | StatusRuntimeException e) {
                listener.closed(this, "cannot send: " + e.getMessage());
            }
        }

        @Override
        public synchronized void close() {
            call.cancel("closed by this side", null);
        }

        @Override
        public void onNext(PeerMessage message) {
            listener.received(this, message);
        }

        @Override
        public void onError(Throwable failure) {
            listener.closed(this, String.valueOf(failure.getMessage()));
        }

        @Override
        public void onCompleted() {
            listener.closed(this, "closed by the peer");
        }
    }

    @Override
    public CompletableFuture<Optional<ProbeReply>> probe(HostPort address, Deadline deadline) {
        return probe(address, ProbeRequest.getDefaultInstance(), deadline);
    }

    @Override
    public CompletableFuture<Optional<ProbeReply>> probeThrough(HostPort via, HostPort target, Deadline deadline) {
        return probe(via, ProbeRequest.newBuilder().setTarget(target.toString()).build(), deadline);
    }

    private CompletableFuture<Optional<ProbeReply>> probe(HostPort address, ProbeRequest request, Deadline deadline) {
        CompletableFuture<Optional<ProbeReply>> answer = new CompletableFuture<>();
        stub(address, SpreadGrpc.SpreadStub.class)
                .withDeadlineAfter(Math.max(1, deadline.remainingMillis(time)), TimeUnit.MILLISECONDS)
                .probe(request, new StreamObserver<>() {
                    @Override
                    public void onNext(ProbeReply reply) {
                        answer.complete(
                                Optional.of(reply).filter(r -> !r.getInstance().isEmpty()));
                    }

                    @Override
                    public void onError(Throwable failure) {
                        answer.complete(Optional.empty());
                    }

                    @Override
                    public void onCompleted() {
                        answer.complete(Optional.empty());
                    }
                });
        return answer;
    }

    /**
     * Fetches the version in force at the daemon at {@code address}; blocks the calling duty's thread.
     *
     * @param base number of the version in force here, 0 for none
     * @return a gzip stream of one {@link org.berylwick.proto.VersionDelta}
     */
    public Result<byte[], PeerError> fetchVersion(HostPort address, long base, Deadline deadline) {
        try {
            Iterator<VersionChunk> chunks = stub(address, SpreadGrpc.SpreadBlockingStub.class)
                    .withDeadlineAfter(Math.max(1, deadline.remainingMillis(time)), TimeUnit.MILLISECONDS)
                    .fetchVersion(FetchVersionRequest.newBuilder()
                            .setBaseVersion(base)
                            .build());
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            while (chunks.hasNext()) {
                bytes.writeBytes(chunks.next().getGzip().toByteArray());
                if (bytes.size() > MAX_VERSION_BYTES) {
                    return Result.err(new PeerError.Malformed("a version of over " + MAX_VERSION_BYTES + " bytes"));
                }
            }
            return Result.ok(bytes.toByteArray());
        } catch (StatusRuntimeException e) {
            return Result.err(new PeerError.Unavailable(String.valueOf(e.getMessage())));
        }
    }

    @Override
    public void close() {
        // Nothing waits for the connections' end, which may take the library's quiet period of seconds.
        factory.closeAsync();
    }
}
