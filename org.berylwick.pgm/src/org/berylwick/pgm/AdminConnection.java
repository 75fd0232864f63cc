package org.berylwick.pgm;

import com.linecorp.armeria.client.grpc.GrpcClients;
import java.time.Duration;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.berylwick.proto.AdminGrpc;

/** Reaches a daemon's operators' service. */
final class AdminConnection {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);

    private AdminConnection() {}

    static void declare(ArgumentParser parser) {
        parser.addArgument("--admin")
                .metavar("HOST:PORT")
                .setDefault(System.getenv().getOrDefault("BERYLWICK_ADMIN", "127.0.0.1:8082"))
                .help("admin address of any daemon (default: $BERYLWICK_ADMIN or 127.0.0.1:8082)");
    }

    static AdminGrpc.AdminBlockingStub open(Namespace options) {
        return GrpcClients.builder("gproto+h2c://" + options.getString("admin"))
                .responseTimeout(TIMEOUT)
                .build(AdminGrpc.AdminBlockingStub.class);
    }
}
