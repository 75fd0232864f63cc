package org.berylwick.daemon.admin;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.grpc.GrpcService;
import io.grpc.ServerInterceptors;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.time.Duration;
import org.berylwick.daemon.settings.DaemonSettings;
import org.berylwick.lib.HostPort;

/** Puts the operators' service, the metrics and the health questions on the admin address. */
public final class AdminServer {
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
    private static final int MAX_CONNECTIONS = 64;

    private AdminServer() {}

    /** A server that is not started yet. */
    public static Server create(
            HostPort address, DaemonSettings.Admin settings, AdminService service, MetricRegistry metrics) {
        AdminContext context = service.context();
        AdminAuthorizer authorizer =
                new AdminAuthorizer(settings.token(), isLoopback(address), service.attempts(), metrics, context.time());
        registerGauges(context, metrics);
        ServerBuilder server = Server.builder()
                .http(new InetSocketAddress(address.host(), address.port()))
                .requestTimeout(REQUEST_TIMEOUT)
                .idleTimeout(IDLE_TIMEOUT)
                .maxNumConnections(MAX_CONNECTIONS)
                // The one service that reads bodies has its own limit, which it can answer as gRPC.
                .maxRequestLength(0)
                .gracefulShutdownTimeout(Duration.ZERO, REQUEST_TIMEOUT);
        GrpcService grpc = GrpcService.builder()
                .addService(ServerInterceptors.intercept(service, authorizer))
                .maxRequestMessageLength(settings.maxRequestBytes())
                .build();
        return server.service(grpc)
                .service("/metrics", new MetricsService(metrics))
                // Alive says only that the process answers; a daemon that drains for minutes is alive all the while.
                .service("/health/live", (request, body) -> HttpResponse.of(HttpStatus.OK))
                .service("/health/ready", new HealthService(context))
                .build();
    }

    private static boolean isLoopback(HostPort address) {
        try {
            return InetAddress.getByName(address.host()).isLoopbackAddress();
        } catch (UnknownHostException e) {
            return false;
        }
    }

    private static void registerGauges(AdminContext context, MetricRegistry metrics) {
        ProcessGauges.register(metrics);
        metrics.gauge(
                AdminMetricNames.VERSION,
                () -> () -> context.installed().snapshot().id().number());
        metrics.gauge(
                AdminMetricNames.MEMBERS,
                () -> () -> context.membership().view().all().size());
        Histogram convergence = metrics.histogram(AdminMetricNames.CONVERGENCE);
        context.installed()
                .addListener(v -> convergence.update(
                        Math.max(0, v.sinceEpochMillis() - v.snapshot().audit().acceptedAtEpochMillis())));
    }
}
