package org.berylwick.pgm;

import net.sourceforge.argparse4j.inf.Namespace;
import org.berylwick.proto.RollbackRequest;

/** Has the content of an older version accepted as a new one. */
final class Rollback implements Command {
    @Override
    public String name() {
        return "rollback";
    }

    @Override
    public Message help() {
        return Message.ROLLBACK_HELP;
    }

    @Override
    public Message examples() {
        return Message.ROLLBACK_EXAMPLES;
    }

    @Override
    public void declare(Options options) {
        options.add(Message.OPTION_TO_VERSION, "version").metavar("VERSION").type(Long.class);
        ChangeOptions.declare(options);
    }

    @Override
    public ExitCode run(Namespace options, Terminal terminal) {
        ChangeOptions change = ChangeOptions.read(options);
        RollbackRequest request = RollbackRequest.newBuilder()
                .setToVersion(options.getLong("version"))
                .setDryRun(change.dryRun())
                .setOperationId(change.operationId())
                .setAuthor(change.author())
                .setSummary(change.summary())
                .build();
        return new ChangeRun(options, change, terminal, Message.REJECTED_ROLLBACK)
                .run(admin -> admin.rollback(request));
    }
}
