package org.berylwick.standin.objects;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** What the users' platform writes for a node: its settings file, and the operator's configuration. */
public final class PlatformFiles {
    /** Names the settings file to a node. */
    public static final String SETTINGS_VARIABLE = "BERYLWICK_BOOT";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    /** Longer than a process that is told to stop is there. */
    private static final int BULK_TIMEOUT_S = 8;

    /**
     * A VM.
     *
     * @param name of it
     * @param ip of it
     * @param zone availability zone, {@code zone-a} or {@code zone-b}
     * @param service of its backend server
     * @param backendPort where that listens
     * @param linkMbps width of its link, as its settings say
     */
    public record Vm(String name, String ip, String zone, String service, int backendPort, double linkMbps) {}

    private PlatformFiles() {}

    /**
     * A settings file.
     *
     * @param vm that it is for
     * @param ports for other nodes, callers, readiness, heartbeats and datagrams
     * @param storePort where the store listens
     * @param drainSeconds after an acknowledged leave, in which requests may still come
     * @param graceSeconds from the signal to stop to the kill
     */
    public static String settings(Vm vm, int[] ports, int storePort, double drainSeconds, double graceSeconds) {
        return """
                {"node": "%s", "ip": "%s", "zone": "%s", "region": "r", "zones": {"zone-a": "r", "zone-b": "r"},
                 "listen": {"inbound": "%2$s:%d", "outbound": "%2$s:%d", "readinessAddr": "%2$s:%d",
                            "control": "%2$s:%d"},
                 "internalPorts": [%d, %d], "limits": {"memoryMb": 200, "linkMbps": %s}, "heartbeatS": 0.4,
                 "bounds": {"drainS": %s, "graceS": %s, "budgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 60},
                 "appAddr": "%2$s:%d", "service": "%s", "platform": {"address": "127.0.0.1:%d"}}
                """.formatted(
                        vm.name(),
                        vm.ip(),
                        vm.zone(),
                        ports[0],
                        ports[1],
                        ports[2],
                        ports[3],
                        ports[4],
                        ports[4] + 1,
                        vm.linkMbps(),
                        drainSeconds,
                        graceSeconds,
                        vm.backendPort(),
                        vm.service(),
                        storePort);
    }

    /** A configuration with a route of each kind to services alpha and beta, and a route for each version so far. */
    public static ObjectNode configuration(String host, long version) {
        ObjectNode spec = MAPPER.createObjectNode();
        spec.put("version", "%08x".formatted(version));
        ArrayNode services = spec.putArray("services");
        services.addObject().put("name", "alpha").put("maxConnections", 50).put("healthPath", BackendVm.HEALTH_PATH);
        services.addObject().put("name", "beta").put("maxConnections", 50).put("healthPath", BackendVm.HEALTH_PATH);
        spec.putObject("limits")
                .put("maxHeaderBytes", 16_384)
                .put("maxBodyBytes", 1 << 23)
                .put("headerTimeoutS", 3)
                .put("idleTimeoutS", 15);
        ArrayNode paths =
                spec.putArray("virtualHosts").addObject().put("hostname", host).putArray("paths");
        route(paths, "/read/", "safe", "alpha");
        route(paths, "/pay/", "unsafe", "beta");
        route(paths, "/bulk/", "download", "alpha");
        ((ObjectNode) paths.get(2)).put("timeoutS", BULK_TIMEOUT_S);
        for (long i = 1; i <= version; i++) {
            route(paths, "/v" + i + "/", "safe", "alpha");
        }
        return spec;
    }

    private static void route(ArrayNode paths, String prefix, String kind, String service) {
        paths.addObject()
                .put("name", "r" + prefix.replace('/', '-'))
                .put("pathPrefix", prefix)
                .put("kind", kind)
                .put("service", service)
                .put("timeoutS", 2)
                .put("targetLatencyS", 0.5)
                .put("maxAttempts", 2)
                .put("priority", 1);
    }
}
