package org.berylwick.pgm;

import net.sourceforge.argparse4j.inf.Namespace;
import org.berylwick.proto.DiffReply;
import org.berylwick.proto.DiffRequest;

/** Compares two versions. */
final class Diff implements Command {
    @Override
    public String name() {
        return "diff";
    }

    @Override
    public Message help() {
        return Message.DIFF_HELP;
    }

    @Override
    public Message examples() {
        return Message.DIFF_EXAMPLES;
    }

    @Override
    public void declare(Options options) {
        options.add(Message.OPTION_FROM, "from").metavar("FROM").type(Long.class);
        options.add(Message.OPTION_TO, "to")
                .metavar("TO")
                .nargs("?")
                .type(Long.class)
                .setDefault(0L);
        AdminConnection.declare(options);
    }

    @Override
    public ExitCode run(Namespace options, Terminal terminal) {
        DiffReply reply = AdminConnection.open(options, terminal)
                .diff(DiffRequest.newBuilder()
                        .setFromVersion(options.getLong("from"))
                        .setToVersion(options.getLong("to"))
                        .build());
        if (Output.isJson(options)) {
            Output.json(terminal, reply);
            return ExitCode.OK;
        }
        if (reply.getChangesCount() == 0) {
            terminal.print(Messages.text(Message.NO_DIFFERENCE, reply.getFromVersion(), reply.getToVersion()));
            return ExitCode.OK;
        }
        ChangeTable.of(reply.getChangesList()).print(terminal);
        return ExitCode.OK;
    }
}
