package org.berylwick.daemon.admin;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.AbstractHttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.concurrent.TimeUnit;

/** Answers every metric as one JSON document; rates are a second, durations in milliseconds. */
final class MetricsService extends AbstractHttpService {
    private final MetricRegistry metrics;
    private final ObjectMapper mapper =
            new ObjectMapper().registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

    MetricsService(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    @Override
    protected HttpResponse doGet(ServiceRequestContext request, HttpRequest body) throws JsonProcessingException {
        return HttpResponse.of(HttpStatus.OK, MediaType.JSON, mapper.writeValueAsString(metrics));
    }
}
