package org.berylwick.pgm;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.berylwick.proto.DaemonStatus;
import org.berylwick.proto.GetStatusReply;
import org.berylwick.proto.GetStatusRequest;

/** Tells which version is in force on which daemon. */
final class Status implements Command {
    @Override
    public String name() {
        return "status";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("which version is in force on which daemon");
    }

    @Override
    public ExitCode run(Namespace options, Terminal terminal) {
        GetStatusReply status = AdminConnection.open(options).getStatus(GetStatusRequest.getDefaultInstance());
        terminal.out().println("version " + status.getVersion());
        for (DaemonStatus d : status.getDaemonsList()) {
            terminal.out().printf("%-24s %-12s %d%n", d.getInstance(), d.getAvailabilityZone(), d.getVersion());
        }
        return ExitCode.OK;
    }
}
