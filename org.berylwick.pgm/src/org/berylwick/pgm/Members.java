package org.berylwick.pgm;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.berylwick.proto.ListMembersRequest;
import org.berylwick.proto.MemberInfo;

/** Lists the members that a daemon knows. */
final class Members implements Command {
    @Override
    public String name() {
        return "members";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("the members that the daemon knows");
    }

    @Override
    public ExitCode run(Namespace options, Terminal terminal) {
        for (MemberInfo m : AdminConnection.open(options)
                .listMembers(ListMembersRequest.getDefaultInstance())
                .getMembersList()) {
            terminal.out()
                    .printf(
                            "%-24s %-12s %-12s %-9s %s%n",
                            m.getInstance(), m.getService(), m.getAvailabilityZone(), m.getState(), m.getAddress());
        }
        return ExitCode.OK;
    }
}
