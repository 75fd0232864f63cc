package org.berylwick.standin.backend;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.TimeSource;

/** Calls onward through the own daemon when a request asks for a chain, with one link less and what time remains. */
final class ChainCaller {
    /** Request header: how many more backend servers the request is to pass. */
    static final String CHAIN = "x-standin-chain";

    private final TimeSource time;
    private volatile Optional<WebClient> daemon = Optional.empty();

    ChainCaller(TimeSource time) {
        this.time = time;
    }

    void setDaemon(HostPort callers) {
        daemon = Optional.of(
                WebClient.builder("h1c://" + callers).responseTimeoutMillis(0).build());
    }

    /**
     * Calls the next link.
     *
     * @param over completes when the answer of this link is over or given up; ends the call to the next one
     * @return the status of the next link, or 200 if there is none
     */
    CompletableFuture<Integer> call(
            ServiceRequestContext ctx, RequestHeaders from, Optional<Deadline> deadline, CompletableFuture<?> over) {
        int links = from.getInt(CHAIN, ctx.queryParams().getInt("chain", 0));
        if (links <= 0) {
            return CompletableFuture.completedFuture(HttpStatus.OK.code());
        }
        if (daemon.isEmpty()) {
            return CompletableFuture.completedFuture(HttpStatus.INTERNAL_SERVER_ERROR.code());
        }
        RequestHeadersBuilder headers = RequestHeaders.builder(HttpMethod.GET, ctx.path());
        headers.authority(from.authority());
        headers.setInt(CHAIN, links - 1);
        headers.set(BackendService.REQUEST_ID, from.get(BackendService.REQUEST_ID, "") + "." + links);
        deadline.ifPresent(d -> headers.setLong(BackendService.TIMEOUT_MILLIS, d.remainingMillis(time)));
        HttpResponse next = daemon.get().execute(HttpRequest.of(headers.build()));
        over.whenComplete((done, failure) -> next.abort());
        return next.aggregate()
                .thenApply(answer -> answer.status().code())
                .exceptionally(failure -> HttpStatus.BAD_GATEWAY.code());
    }
}
