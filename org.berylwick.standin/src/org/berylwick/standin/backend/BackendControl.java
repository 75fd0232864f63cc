package org.berylwick.standin.backend;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.QueryParams;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.lib.HostPort;

/** Settles and tells everything about a backend server over HTTP; {@link BackendServer} lists the paths. */
final class BackendControl implements HttpService {
    private final BackendFaults faults;
    private final RunLedger ledger;
    private final ChainCaller chain;

    BackendControl(BackendFaults faults, RunLedger ledger, ChainCaller chain) {
        this.faults = faults;
        this.ledger = ledger;
        this.chain = chain;
    }

    private record RunsOf(long runs, long runsOfKey) {}

    @Override
    public HttpResponse serve(ServiceRequestContext ctx, HttpRequest request) {
        QueryParams q = ctx.queryParams();
        try {
            return control(ctx.mappedPath(), q);
        } catch (IllegalArgumentException e) {
            return HttpResponse.of(HttpStatus.BAD_REQUEST, MediaType.PLAIN_TEXT_UTF_8, String.valueOf(e.getMessage()));
        }
    }

    private HttpResponse control(String path, QueryParams q) {
        switch (path) {
            case "/drain" -> faults.setDraining(Boolean.parseBoolean(q.get("on", "true")));
            case "/shed" -> faults.setShedding(Boolean.parseBoolean(q.get("on", "true")));
            case "/rate" -> faults.setStatedRate(Optional.ofNullable(q.get("per_second")));
            case "/leaving" -> faults.setLeaveStated(Boolean.parseBoolean(q.get("on", "true")));
            case "/slow" -> faults.setExtraServiceTime(Duration.ofMillis(q.getLong("ms", 0)));
            case "/daemon" -> chain.setDaemon(HostPort.fromString(q.get("callers", "")));
            case "/health" ->
                faults.setHealth(
                        BackendFaults.Health.valueOf(q.get("says", "true").toUpperCase(Locale.ROOT)),
                        Duration.ofMillis(q.getLong("lag_ms", 0)));
            case "/load" ->
                faults.setClaimedBusy(Optional.ofNullable(q.get("busy")).map(Integer::valueOf));
            case "/answers" -> {
                AnswerFault fault = AnswerFault.fromWord(q.get("fault", ""))
                        .orElseThrow(() -> new IllegalArgumentException("fault must be one of late, crossed, ..."));
                faults.setLateness(Duration.ofMillis(q.getLong("late_ms", 1_000)));
                faults.spoilNext(fault, q.getLong("count", 1));
            }
            case "/runs" -> {
                return runs(q);
            }
            default -> {
                return HttpResponse.of(HttpStatus.NOT_FOUND);
            }
        }
        return HttpResponse.of(HttpStatus.OK);
    }

    private HttpResponse runs(QueryParams q) {
        String id = q.get("id", "");
        String key = q.get("key", "");
        Object found =
                id.isEmpty() && key.isEmpty() ? ledger.totals() : new RunsOf(ledger.runsOf(id), ledger.runsOfKey(key));
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, HttpData.wrap(ConfigurationCodec.encode(found)));
    }
}
