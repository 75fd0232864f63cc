package org.berylwick.pgm;

import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import org.berylwick.proto.ListMembersReply;
import org.berylwick.proto.ListMembersRequest;
import org.berylwick.proto.MemberInfo;

/** Lists the members that a daemon knows. */
final class Members implements Command {
    @Override
    public String name() {
        return "members";
    }

    @Override
    public Message help() {
        return Message.MEMBERS_HELP;
    }

    @Override
    public Message examples() {
        return Message.MEMBERS_EXAMPLES;
    }

    @Override
    public void declare(Options options) {
        options.add(Message.OPTION_SERVICE, "--service").metavar("NAME");
        AdminConnection.declare(options);
    }

    @Override
    public ExitCode run(Namespace options, Terminal terminal) {
        String service = options.getString("service");
        List<MemberInfo> members =
                AdminConnection.open(options, terminal)
                        .listMembers(ListMembersRequest.getDefaultInstance())
                        .getMembersList()
                        .stream()
                        .filter(m -> service == null || m.getService().equals(service))
                        .toList();
        if (Output.isJson(options)) {
            Output.json(
                    terminal,
                    ListMembersReply.newBuilder().addAllMembers(members).build());
            return ExitCode.OK;
        }
        Table table = new Table("INSTANCE", "SERVICE", "REGION", "ZONE", "STATE", "ADDRESS", "LABELS");
        for (MemberInfo m : members) {
            String labels = String.join(
                    ",",
                    m.getLabelsMap().entrySet().stream()
                            .map(e -> e.getKey() + "=" + e.getValue())
                            .sorted()
                            .toList());
            table.add(
                    m.getInstance(),
                    m.getService(),
                    m.getRegion(),
                    m.getAvailabilityZone(),
                    m.getState(),
                    m.getAddress(),
                    labels);
        }
        table.print(terminal);
        return ExitCode.OK;
    }
}
