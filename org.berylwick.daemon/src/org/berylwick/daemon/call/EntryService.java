package org.berylwick.daemon.call;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.berylwick.internal.membership.MembershipTable;
import org.berylwick.internal.routing.RouteMatch;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Snapshot;
import org.berylwick.lib.TimeSource;

/** Takes requests from callers, finds their brand and route, and has them run. */
public final class EntryService implements HttpService {
    private static final long MAX_REPLAYED_BODY_BYTES = 64 << 10;

    private final InstalledVersion installed;
    private final MembershipTable membership;
    private final Forwarder forwarder;
    private final TimeSource time;

    EntryService(InstalledVersion installed, MembershipTable membership, Forwarder forwarder, TimeSource time) {
        this.installed = installed;
        this.membership = membership;
        this.forwarder = forwarder;
        this.time = time;
    }

    @Override
    public HttpResponse serve(ServiceRequestContext ctx, HttpRequest request) {
        Snapshot snapshot = installed.snapshot();
        RequestHeaders received = request.headers();
        String requestId = received.get(CallHeaders.REQUEST_ID, "");
        if (requestId.isEmpty()) {
            requestId = HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
        }
        String host = hostOf(request.authority());
        Optional<RouteMatch> match =
                snapshot.table().find(host, request.method().name(), ctx.path());
        if (match.isEmpty()) {
            return Problem.noRoute(requestId, "no route for " + request.method() + " " + host + ctx.path());
        }
        return forward(requestId, match.get(), request);
    }

    private HttpResponse forward(String requestId, RouteMatch match, HttpRequest request) {
        RequestHeaders received = request.headers();
        Deadline deadline = Deadline.afterMillis(time, match.policy().timeoutMillis());
        long asked = received.getLong(CallHeaders.TIMEOUT_MILLIS, -1);
        if (asked >= 0) {
            deadline = deadline.earlier(Deadline.afterMillis(time, asked));
        }
        RequestHeadersBuilder headers = received.toBuilder();
        CallHeaders.removeHopByHop(headers);
        CallHeaders.removeInternal(headers);
        headers.set(CallHeaders.REQUEST_ID, requestId);
        headers.set(CallHeaders.BRAND, match.brand().name());
        match.brand().headers().forEach(headers::set);
        RequestHeaders forwarded = headers.build();
        long length = contentLength(request);
        if (length < 0 || length > MAX_REPLAYED_BODY_BYTES) {
            HttpRequest streamed = request.withHeaders(forwarded);
            return forwarder.forward(new Call(requestId, match, membership.view(), deadline, streamed, false));
        }
        if (length == 0) {
            HttpRequest empty = HttpRequest.of(forwarded);
            return forwarder.forward(new Call(requestId, match, membership.view(), deadline, empty, true));
        }
        Deadline by = deadline;
        String id = requestId;
        return HttpResponse.of(request.aggregate().thenApply(whole -> {
            HttpRequest replayed = HttpRequest.of(forwarded, whole.content());
            return forwarder.forward(new Call(id, match, membership.view(), by, replayed, true));
        }));
    }

    /** The body's length if it is known, -1 if not. */
    private static long contentLength(HttpRequest request) {
        long declared = request.headers().contentLength();
        if (declared >= 0) {
            return declared;
        }
        boolean bodiless = request.headers().isEndOfStream()
                || (!request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
                        && request.headers().contentType() == null
                        && switch (request.method()) {
                            case GET, HEAD, OPTIONS, DELETE -> true;
                            default -> false;
                        });
        return bodiless ? 0 : -1;
    }

    private static String hostOf(String authority) {
        if (authority == null) {
            return "";
        }
        int colon = authority.lastIndexOf(':');
        return colon < 0 ? authority : authority.substring(0, colon);
    }
}
