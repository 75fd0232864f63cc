package org.berylwick.daemon.admin;

import io.grpc.stub.StreamObserver;
import java.util.Comparator;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.berylwick.api.ApplyCommand;
import org.berylwick.api.ApplyResult;
import org.berylwick.internal.kernel.KernelService;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Member;
import org.berylwick.lib.Snapshot;
import org.berylwick.lib.TimeSource;
import org.berylwick.proto.AdminGrpc;
import org.berylwick.proto.ApplyReply;
import org.berylwick.proto.ApplyRequest;
import org.berylwick.proto.GetStatusReply;
import org.berylwick.proto.GetStatusRequest;
import org.berylwick.proto.ListMembersReply;
import org.berylwick.proto.ListMembersRequest;

/** The operators' service over gRPC; work that calls the store runs on the admin duty's own thread. */
public final class AdminService extends AdminGrpc.AdminImplBase implements KernelService {
    /** The name in the kernel. */
    public static final String NAME = "admin";

    private static final long APPLY_MILLIS = 10_000;

    private final VersionRepository repository;
    private final InstalledVersion installed;
    private final MembershipTable membership;
    private final TimeSource time;
    private final ExecutorService duty = Executors.newSingleThreadExecutor(
            Thread.ofPlatform().name(NAME).daemon(true).factory());

    /** The service of one daemon. */
    public AdminService(
            VersionRepository repository, InstalledVersion installed, MembershipTable membership, TimeSource time) {
        this.repository = repository;
        this.installed = installed;
        this.membership = membership;
        this.time = time;
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void apply(ApplyRequest request, StreamObserver<ApplyReply> observer) {
        duty.execute(() -> reply(observer, apply(request)));
    }

    private ApplyReply apply(ApplyRequest request) {
        String operationId =
                request.getOperationId().isEmpty() ? UUID.randomUUID().toString() : request.getOperationId();
        ApplyCommand command = new ApplyCommand(repository, time)
                .setKnownParts(installed.inForce().parts())
                .setOperationId(operationId)
                .setAuthor(request.getAuthor())
                .setSummary(request.getSummary())
                .setBaseVersion(request.getBaseVersion())
                .setDryRun(request.getDryRun())
                .setInForce(installed.snapshot().id())
                .setDeadline(Deadline.afterMillis(time, APPLY_MILLIS));
        request.getDocumentsList().forEach(d -> command.addDocument(d.getName(), d.getText()));
        ApplyResult result = command.call();
        return AdminMessages.reply(result, operationId);
    }

    @Override
    public void getStatus(GetStatusRequest request, StreamObserver<GetStatusReply> observer) {
        Snapshot snapshot = installed.snapshot();
        GetStatusReply.Builder status = GetStatusReply.newBuilder()
                .setVersion(snapshot.id().number())
                .setDigest(snapshot.id().digest().hex());
        membership.view().all().stream()
                .sorted(Comparator.comparing(Member::instance))
                .forEach(m -> status.addDaemons(AdminMessages.status(m)));
        reply(observer, status.build());
    }

    @Override
    public void listMembers(ListMembersRequest request, StreamObserver<ListMembersReply> observer) {
        ListMembersReply.Builder list = ListMembersReply.newBuilder();
        membership.view().all().stream()
                .sorted(Comparator.comparing(Member::instance))
                .forEach(m -> list.addMembers(AdminMessages.member(m)));
        reply(observer, list.build());
    }

    private static <T> void reply(StreamObserver<T> observer, T message) {
        observer.onNext(message);
        observer.onCompleted();
    }

    @Override
    public void close() {
        duty.shutdownNow();
    }
}
