package org.berylwick.daemon.admin;

import com.codahale.metrics.MetricRegistry;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.Comparator;
import org.berylwick.internal.kernel.KernelService;
import org.berylwick.lib.Member;
import org.berylwick.lib.ObjectRef;
import org.berylwick.proto.AdminGrpc;
import org.berylwick.proto.ApplyReply;
import org.berylwick.proto.ApplyRequest;
import org.berylwick.proto.DiffReply;
import org.berylwick.proto.DiffRequest;
import org.berylwick.proto.ExplainRouteReply;
import org.berylwick.proto.ExplainRouteRequest;
import org.berylwick.proto.GetConfigurationReply;
import org.berylwick.proto.GetConfigurationRequest;
import org.berylwick.proto.GetStatusReply;
import org.berylwick.proto.GetStatusRequest;
import org.berylwick.proto.ListAuditReply;
import org.berylwick.proto.ListAuditRequest;
import org.berylwick.proto.ListHistoryReply;
import org.berylwick.proto.ListHistoryRequest;
import org.berylwick.proto.ListMembersReply;
import org.berylwick.proto.ListMembersRequest;
import org.berylwick.proto.RollbackRequest;
import org.berylwick.proto.SetDrainReply;
import org.berylwick.proto.SetDrainRequest;

/**
 * The operators' service over gRPC.
 *
 * <p>What is known in this process is answered at once; work that calls the store runs on the admin duty's own thread.
 */
public final class AdminService extends AdminGrpc.AdminImplBase implements KernelService {
    /** The name in the kernel. */
    public static final String NAME = "admin";

    private final AdminContext context;
    private final MetricRegistry metrics;
    private final AttemptLog attempts;
    private final ChangeCalls changes;
    private final VersionCalls versions;
    private final AuditCalls audit;
    private final DrainCalls drains;
    private AdminDuty duty;

    /** The service of one daemon. */
    public AdminService(AdminContext context, MetricRegistry metrics) {
        this.context = context;
        this.metrics = metrics;
        attempts = new AttemptLog(context.time());
        changes = new ChangeCalls(context, attempts);
        versions = new VersionCalls(context);
        audit = new AuditCalls(context, attempts);
        drains = new DrainCalls(context, attempts);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        duty = new AdminDuty(metrics);
    }

    AdminContext context() {
        return context;
    }

    AttemptLog attempts() {
        return attempts;
    }

    @Override
    public void apply(ApplyRequest request, StreamObserver<ApplyReply> observer) {
        duty.answer(observer, () -> changes.apply(request));
    }

    @Override
    public void getConfiguration(GetConfigurationRequest request, StreamObserver<GetConfigurationReply> observer) {
        if (request.getVersion() == 0) {
            reply(observer, VersionCalls.configuration(context.installed().snapshot()));
            return;
        }
        duty.answer(observer, () -> versions.configuration(request.getVersion()));
    }

    @Override
    public void listHistory(ListHistoryRequest request, StreamObserver<ListHistoryReply> observer) {
        duty.answer(observer, () -> versions.history(request));
    }

    @Override
    public void diff(DiffRequest request, StreamObserver<DiffReply> observer) {
        duty.answer(observer, () -> versions.diff(request));
    }

    @Override
    public void rollback(RollbackRequest request, StreamObserver<ApplyReply> observer) {
        duty.answer(observer, () -> changes.rollback(request));
    }

    @Override
    public void listAudit(ListAuditRequest request, StreamObserver<ListAuditReply> observer) {
        if (!isObject(request.getObject())) {
            observer.onError(Status.INVALID_ARGUMENT
                    .withDescription("not an object: " + request.getObject())
                    .asRuntimeException());
            return;
        }
        duty.answer(observer, () -> audit.list(request));
    }

    private static boolean isObject(String text) {
        try {
            return text.isEmpty() || !ObjectRef.fromString(text).name().isEmpty();
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    @Override
    public void getStatus(GetStatusRequest request, StreamObserver<GetStatusReply> observer) {
        reply(observer, new StatusReport(context).build());
    }

    @Override
    public void listMembers(ListMembersRequest request, StreamObserver<ListMembersReply> observer) {
        ListMembersReply.Builder list = ListMembersReply.newBuilder();
        context.membership().view().all().stream()
                .sorted(Comparator.comparing(Member::instance))
                .forEach(m -> list.addMembers(AdminMessages.member(m)));
        reply(observer, list.build());
    }

    @Override
    public void explainRoute(ExplainRouteRequest request, StreamObserver<ExplainRouteReply> observer) {
        RouteExplainer explainer = new RouteExplainer(
                context.installed().snapshot(), context.membership().view(), context.place());
        reply(observer, explainer.explain(request));
    }

    @Override
    public void setDrain(SetDrainRequest request, StreamObserver<SetDrainReply> observer) {
        duty.answer(observer, () -> drains.set(request));
    }

    private static <T> void reply(StreamObserver<T> observer, T message) {
        observer.onNext(message);
        observer.onCompleted();
    }

    @Override
    public void close() {
        duty.close();
    }
}
