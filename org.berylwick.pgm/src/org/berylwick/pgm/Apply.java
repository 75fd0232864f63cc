package org.berylwick.pgm;

import net.sourceforge.argparse4j.inf.Namespace;
import org.berylwick.proto.ApplyRequest;

/** Has declarations accepted as a new version. */
final class Apply implements Command {
    @Override
    public String name() {
        return "apply";
    }

    @Override
    public Message help() {
        return Message.APPLY_HELP;
    }

    @Override
    public Message examples() {
        return Message.APPLY_EXAMPLES;
    }

    @Override
    public void declare(Options options) {
        options.add(Message.OPTION_PATHS, "paths").metavar("PATH").nargs("+");
        options.add(Message.OPTION_BASE, "--base")
                .metavar("VERSION")
                .type(Long.class)
                .setDefault(0L);
        ChangeOptions.declare(options);
    }

    @Override
    public ExitCode run(Namespace options, Terminal terminal) {
        ChangeOptions change = ChangeOptions.read(options);
        ApplyRequest request = ApplyRequest.newBuilder()
                .addAllDocuments(DocumentFiles.read(options.getList("paths")))
                .setDryRun(change.dryRun())
                .setOperationId(change.operationId())
                .setAuthor(change.author())
                .setSummary(change.summary())
                .setBaseVersion(options.getLong("base"))
                .build();
        return new ChangeRun(options, change, terminal, Message.REJECTED).run(admin -> admin.apply(request));
    }
}
