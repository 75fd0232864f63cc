package org.berylwick.daemon.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.AbstractHttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import org.berylwick.lib.Member;

/**
 * Answers whether callers' requests may be sent to this daemon.
 *
 * <p>Ready means that a configuration version is in force and the daemon is not leaving. The store plays no part: a
 * daemon cut off from it serves what it holds, and taking it out of service would turn an outage of the store into an
 * outage of everything. Nor does the own backend server: as an entry the daemon reaches the others.
 */
final class HealthService extends AbstractHttpService {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final AdminContext context;

    /**
     * The answer's body.
     *
     * @param ready whether callers' requests may be sent here
     * @param version in force here
     * @param state of the own backend server
     * @param reason why not ready; empty if ready
     */
    record Readiness(boolean ready, long version, Member.State state, String reason) {}

    HealthService(AdminContext context) {
        this.context = context;
    }

    @Override
    protected HttpResponse doGet(ServiceRequestContext request, HttpRequest body) throws JsonProcessingException {
        Readiness readiness = readiness();
        HttpStatus status = readiness.ready() ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE;
        return HttpResponse.of(status, MediaType.JSON, MAPPER.writeValueAsString(readiness));
    }

    private Readiness readiness() {
        long version = context.installed().snapshot().id().number();
        Member.State state = context.self().state();
        if (version == 0) {
            return new Readiness(false, version, state, "no configuration version is in force yet");
        }
        if (state == Member.State.LEAVING) {
            return new Readiness(false, version, state, "leaving");
        }
        return new Readiness(true, version, state, "");
    }
}
