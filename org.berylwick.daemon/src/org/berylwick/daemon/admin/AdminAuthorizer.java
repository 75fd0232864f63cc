package org.berylwick.daemon.admin;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.grpc.Metadata;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerInterceptor;
import io.grpc.Status;
import java.util.Map;
import java.util.Optional;
import org.berylwick.daemon.settings.AdminToken;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.OperatorEvent;
import org.berylwick.lib.TimeSource;
import org.berylwick.proto.AdminGrpc;

/**
 * Lets calls that change something through only with the token.
 *
 * <p>Without a configured token they are let through on a loopback address alone, where whoever can connect is on the
 * VM already. The headers are judged before any of the body is read.
 */
final class AdminAuthorizer implements ServerInterceptor {
    private static final EventLog EVENTS = new EventLog(AdminAuthorizer.class);
    private static final Metadata.Key<String> AUTHORIZATION =
            Metadata.Key.of("authorization", Metadata.ASCII_STRING_MARSHALLER);
    private static final String SCHEME = "Bearer ";
    /** The word of the command for each call that changes something. */
    private static final Map<String, String> CHANGING = Map.of(
            AdminGrpc.getApplyMethod().getFullMethodName(), "apply",
            AdminGrpc.getRollbackMethod().getFullMethodName(), "rollback",
            AdminGrpc.getSetDrainMethod().getFullMethodName(), "drain");

    private final Optional<AdminToken> token;
    private final boolean loopback;
    private final AttemptLog attempts;
    private final TimeSource time;
    private final Meter calls;
    private final Meter refused;

    AdminAuthorizer(
            Optional<AdminToken> token,
            boolean loopback,
            AttemptLog attempts,
            MetricRegistry metrics,
            TimeSource time) {
        this.token = token;
        this.loopback = loopback;
        this.attempts = attempts;
        this.time = time;
        calls = metrics.meter(AdminMetricNames.CALLS);
        refused = metrics.meter(AdminMetricNames.UNAUTHENTICATED);
    }

    @Override
    public <Q, R> ServerCall.Listener<Q> interceptCall(
            ServerCall<Q, R> call, Metadata headers, ServerCallHandler<Q, R> next) {
        String method = call.getMethodDescriptor().getFullMethodName();
        Optional<String> refusal = CHANGING.containsKey(method) ? refusal(headers) : Optional.empty();
        if (refusal.isEmpty()) {
            calls.mark();
            return next.startCall(call, headers);
        }
        refused.mark();
        String action = CHANGING.get(method);
        EVENTS.log(OperatorEvent.UNAUTHENTICATED, action, refusal.get());
        attempts.addUnauthenticated(Attempt.of(time, action, "", "unauthenticated", refusal.get()));
        call.close(Status.UNAUTHENTICATED.withDescription(refusal.get()), new Metadata());
        return new ServerCall.Listener<>() {};
    }

    private Optional<String> refusal(Metadata headers) {
        if (token.isEmpty()) {
            return loopback
                    ? Optional.empty()
                    : Optional.of("this daemon has no token configured and its admin address is not loopback");
        }
        String value = headers.get(AUTHORIZATION);
        if (value == null || !value.startsWith(SCHEME)) {
            return Optional.of("the call carries no token");
        }
        return token.get().matches(value.substring(SCHEME.length()))
                ? Optional.empty()
                : Optional.of("the call carries another token");
    }
}
