package org.berylwick.bench.fleet;

import com.linecorp.armeria.client.grpc.GrpcClients;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Member;
import org.berylwick.lib.TimeSource;
import org.berylwick.proto.AdminGrpc;
import org.berylwick.proto.ApplyReply;
import org.berylwick.proto.ApplyRequest;
import org.berylwick.proto.Document;
import org.berylwick.proto.GetStatusReply;
import org.berylwick.proto.GetStatusRequest;
import org.berylwick.proto.ListMembersReply;
import org.berylwick.proto.ListMembersRequest;

/** Operates a fleet over one open connection to a daemon's admin service, without a process for each question. */
public final class FleetOperator {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);
    private static final long POLL_MILLIS = 50;

    private final AdminGrpc.AdminBlockingStub admin;

    /** An operator who asks the daemon whose admin service listens at {@code address}. */
    public FleetOperator(HostPort address) {
        admin = GrpcClients.builder("gproto+h2c://" + address)
                .responseTimeout(TIMEOUT)
                .build(AdminGrpc.AdminBlockingStub.class);
    }

    /**
     * Has declarations accepted.
     *
     * @return the number of the accepted version
     * @throws IllegalStateException if they were not accepted
     */
    public long apply(String name, String text) {
        ApplyReply reply = admin.apply(ApplyRequest.newBuilder()
                .setAuthor("bench")
                .setSummary(name)
                .addDocuments(Document.newBuilder().setName(name).setText(text))
                .build());
        if (!reply.hasAccepted()) {
            throw new IllegalStateException(name + " was not accepted: " + reply);
        }
        return reply.getAccepted().getVersion();
    }

    /**
     * Waits until the asked daemon sees all of {@code instances} up with {@code version} or a newer one in force.
     *
     * @throws IllegalStateException if they are not within {@code timeout}
     */
    public void awaitInForce(long version, List<String> instances, Duration timeout) throws InterruptedException {
        Deadline deadline = Deadline.after(TimeSource.SYSTEM, timeout);
        while (true) {
            GetStatusReply status = admin.getStatus(GetStatusRequest.getDefaultInstance());
            ListMembersReply members = admin.listMembers(ListMembersRequest.getDefaultInstance());
            if (instances.stream().allMatch(i -> isInForce(status, i, version) && isUp(members, i))) {
                return;
            }
            if (deadline.isPast(TimeSource.SYSTEM)) {
                throw new IllegalStateException(
                        "version " + version + " is not in force everywhere:\n" + status + members);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private static boolean isInForce(GetStatusReply status, String instance, long version) {
        return status.getDaemonsList().stream()
                .anyMatch(d -> d.getInstance().equals(instance) && d.getVersion() >= version);
    }

    private static boolean isUp(ListMembersReply members, String instance) {
        return members.getMembersList().stream()
                .anyMatch(m -> m.getInstance().equals(instance) && m.getState().equals(Member.State.UP.name()));
    }
}
