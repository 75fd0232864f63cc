package org.berylwick.pgm;

import net.sourceforge.argparse4j.inf.Namespace;
import org.berylwick.proto.HistoryEntry;
import org.berylwick.proto.ListHistoryReply;
import org.berylwick.proto.ListHistoryRequest;

/** Lists accepted versions. */
final class History implements Command {
    @Override
    public String name() {
        return "history";
    }

    @Override
    public Message help() {
        return Message.HISTORY_HELP;
    }

    @Override
    public Message examples() {
        return Message.HISTORY_EXAMPLES;
    }

    @Override
    public void declare(Options options) {
        options.add(Message.OPTION_LIMIT, "--limit", "-n")
                .metavar("N")
                .type(Integer.class)
                .setDefault(20);
        AdminConnection.declare(options);
    }

    @Override
    public ExitCode run(Namespace options, Terminal terminal) {
        ListHistoryReply reply = AdminConnection.open(options, terminal)
                .listHistory(ListHistoryRequest.newBuilder()
                        .setLimit(options.getInt("limit"))
                        .build());
        if (Output.isJson(options)) {
            Output.json(terminal, reply);
            return ExitCode.OK;
        }
        Table table = new Table("VERSION", "ACCEPTED", "AUTHOR", "SUMMARY", "CHANGES");
        for (HistoryEntry e : reply.getEntriesList()) {
            table.add(
                    e.getVersion(),
                    Times.utc(e.getAcceptedAtEpochMs()),
                    e.getAuthor(),
                    e.getSummary(),
                    ChangeTable.summary(e.getChangesList()));
        }
        table.print(terminal);
        return ExitCode.OK;
    }
}
