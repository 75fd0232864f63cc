import java.util.List;

/** The configuration of the small deployment, and the wait for its start. */
final class Config {
    private Config() {}

    /** One service with one route, {@code /SERVICE/}. */
    static String text(String service, String kind, double timeoutS, long maxBodyBytes) {
        return "{\"version\":\"00000007\",\"services\":[{\"name\":\"" + service
                + "\",\"healthPath\":\"/healthz\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":" + maxBodyBytes
                + ",\"headerTimeoutS\":3,\"idleTimeoutS\":15},\"virtualHosts\":[{\"hostname\":\"shop.example\","
                + "\"paths\":[{\"name\":\"r-1\",\"pathPrefix\":\"/" + service + "/\",\"kind\":\"" + kind
                + "\",\"timeoutS\":" + timeoutS + ",\"targetLatencyS\":0.8,\"priority\":1,\"service\":\"" + service
                + "\",\"maxAttempts\":2}]}]}";
    }

    /** The next version, which has a further route. */
    static String textWithRoute(String service, String kind, double timeoutS, long maxBodyBytes, String route) {
        String added = ",{\"name\":\"r-2\",\"pathPrefix\":\"/" + route + "/\",\"kind\":\"" + kind + "\",\"timeoutS\":"
                + timeoutS + ",\"targetLatencyS\":0.8,\"priority\":1,\"service\":\"" + service
                + "\",\"maxAttempts\":2}";
        String first = text(service, kind, timeoutS, maxBodyBytes).replace("00000007", "00000009");
        int end = first.lastIndexOf("]}]}");
        return first.substring(0, end) + added + first.substring(end);
    }

    static boolean awaitReady(List<Node> nodes, Record record) throws Exception {
        long until = System.nanoTime() + 25_000_000_000L;
        for (Node node : nodes) {
            while (!node.isIn()) {
                if (System.nanoTime() > until) {
                    record.write(node.name + " is not ready: " + node.log());
                    return false;
                }
                Thread.sleep(100);
            }
        }
        return true;
    }
}
