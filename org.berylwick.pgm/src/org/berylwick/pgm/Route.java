package org.berylwick.pgm;

import net.sourceforge.argparse4j.inf.Namespace;
import org.berylwick.proto.Candidate;
import org.berylwick.proto.ExplainRouteReply;
import org.berylwick.proto.ExplainRouteRequest;

/** Explains what a request would meet. */
final class Route implements Command {
    @Override
    public String name() {
        return "route";
    }

    @Override
    public Message help() {
        return Message.ROUTE_HELP;
    }

    @Override
    public Message examples() {
        return Message.ROUTE_EXAMPLES;
    }

    @Override
    public void declare(Options options) {
        options.add(Message.OPTION_HOST, "host").metavar("HOST");
        options.add(Message.OPTION_PATH, "path").metavar("PATH");
        options.add(Message.OPTION_METHOD, "--method", "-X").metavar("METHOD").setDefault("GET");
        AdminConnection.declare(options);
    }

    @Override
    public ExitCode run(Namespace options, Terminal terminal) {
        ExplainRouteReply reply = AdminConnection.open(options, terminal)
                .explainRoute(ExplainRouteRequest.newBuilder()
                        .setHost(options.getString("host"))
                        .setPath(options.getString("path"))
                        .setMethod(options.getString("method"))
                        .build());
        if (Output.isJson(options)) {
            Output.json(terminal, reply);
        } else {
            print(reply, terminal);
        }
        if (!reply.getMatched()) {
            terminal.tell(Message.NO_ROUTE, reply.getVersion());
            return ExitCode.REFUSED;
        }
        return ExitCode.OK;
    }

    private static void print(ExplainRouteReply reply, Terminal terminal) {
        reply.getReasonsList().forEach(terminal::print);
        if (!reply.getMatched()) {
            return;
        }
        new Table("VERSION", "BRAND", "ROUTE", "POLICY", "CLASS", "TIMEOUT", "ATTEMPTS", "IDEMPOTENT", "KEY", "SERVICE")
                .add(
                        reply.getVersion(),
                        reply.getBrand(),
                        reply.getRoute(),
                        reply.getPolicy(),
                        reply.getTrafficClass(),
                        reply.getTimeoutMs() + "ms",
                        reply.getMaxAttempts(),
                        reply.getIdempotent() ? "yes" : "no",
                        reply.getIdempotencyKey(),
                        reply.getService())
                .print(terminal);
        if (reply.getCandidatesCount() == 0) {
            terminal.tell(Message.NO_CANDIDATES, reply.getService());
            return;
        }
        Table table = new Table("MEMBER", "ZONE", "STATE", "ELIGIBLE", "WHY");
        for (Candidate c : reply.getCandidatesList()) {
            table.add(
                    c.getInstance(),
                    c.getAvailabilityZone(),
                    c.getState(),
                    c.getEligible() ? "yes" : "no",
                    c.getReason());
        }
        table.print(terminal);
    }
}
