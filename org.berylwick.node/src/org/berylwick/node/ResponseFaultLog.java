package org.berylwick.node;

import java.util.function.Consumer;
import org.berylwick.node.log.Counters;
import org.berylwick.node.log.Event;
import org.berylwick.node.log.EventLog;
import org.berylwick.node.log.NodeMetricNames;
import org.berylwick.node.transport.ResponseFault;

/** Logs and counts the bytes of servers that are not the response to the request on their connection. */
final class ResponseFaultLog implements Consumer<ResponseFault> {
    private final Counters counters;
    private final EventLog log;

    ResponseFaultLog(Counters counters, EventLog log) {
        this.counters = counters;
        this.log = log;
    }

    @Override
    public void accept(ResponseFault fault) {
        counters.increment(NodeMetricNames.RESPONSE_FAULTS_BY_KIND + fault.kind());
        log.write(
                Event.RESPONSE_FAULT,
                "kind",
                fault.kind(),
                "server",
                fault.server().getHostString() + ":" + fault.server().getPort(),
                "id",
                fault.request(),
                "previous",
                fault.previousRequest(),
                "receivedBytes",
                fault.receivedBytes(),
                "detail",
                fault.detail());
    }
}
