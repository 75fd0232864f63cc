package org.berylwick.pgm;

import java.util.Locale;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.inf.Namespace;
import org.berylwick.lib.TimeSource;
import org.berylwick.proto.AuditRecord;
import org.berylwick.proto.ListAuditReply;
import org.berylwick.proto.ListAuditRequest;

/** Lists who changed, or tried to change, what and when. */
final class Audit implements Command {
    @Override
    public String name() {
        return "audit";
    }

    @Override
    public Message help() {
        return Message.AUDIT_HELP;
    }

    @Override
    public Message examples() {
        return Message.AUDIT_EXAMPLES;
    }

    @Override
    public void declare(Options options) {
        options.add(Message.OPTION_FILTER_AUTHOR, "--author").metavar("NAME").setDefault("");
        options.add(Message.OPTION_FILTER_OBJECT, "--object")
                .metavar("KIND/NAME")
                .setDefault("");
        options.add(Message.OPTION_FILTER_RESULT, "--result").metavar("RESULT").setDefault("");
        options.add(Message.OPTION_SINCE, "--since").metavar("TIME");
        options.add(Message.OPTION_LIMIT, "--limit", "-n")
                .metavar("N")
                .type(Integer.class)
                .setDefault(50);
        AdminConnection.declare(options);
    }

    @Override
    public ExitCode run(Namespace options, Terminal terminal) {
        ListAuditRequest.Builder request = ListAuditRequest.newBuilder()
                .setLimit(options.getInt("limit"))
                .setAuthor(options.getString("author"))
                .setObject(options.getString("object"))
                .setResult(options.getString("result").toLowerCase(Locale.ROOT));
        String since = options.getString("since");
        if (since != null) {
            request.setSinceEpochMs(TimeSource.SYSTEM.epochMillis()
                    - Times.duration("--since", since).toMillis());
        }
        ListAuditReply reply = AdminConnection.open(options, terminal).listAudit(request.build());
        if (Output.isJson(options)) {
            Output.json(terminal, reply);
        } else {
            print(reply, terminal);
        }
        if (!reply.getHistoryMissing().isEmpty()) {
            terminal.tell(Message.HISTORY_MISSING, reply.getHistoryMissing());
            return ExitCode.UNREACHABLE;
        }
        return ExitCode.OK;
    }

    private static void print(ListAuditReply reply, Terminal terminal) {
        Table table = new Table("AT", "AUTHOR", "ACTION", "RESULT", "VERSION", "WHAT");
        for (AuditRecord r : reply.getRecordsList()) {
            table.add(
                    Times.utc(r.getAtEpochMs()),
                    r.getAuthor().isEmpty() ? "-" : r.getAuthor(),
                    r.getAction().isEmpty() ? "-" : r.getAction(),
                    r.getResult(),
                    r.getVersion() == 0 ? "-" : r.getVersion(),
                    what(r));
        }
        table.print(terminal);
        terminal.err()
                .println(Messages.text(
                        Message.AUDIT_NOTE, reply.getInstance(), Times.utc(reply.getAttemptsSinceEpochMs())));
    }

    private static String what(AuditRecord audit) {
        String changes = ChangeTable.summary(audit.getChangesList());
        return String.join(
                "; ",
                Stream.of(audit.getSummary(), changes, audit.getDetail())
                        .filter(s -> !s.isEmpty())
                        .toList());
    }
}
