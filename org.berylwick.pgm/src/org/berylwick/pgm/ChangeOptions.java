package org.berylwick.pgm;

import java.time.Duration;
import java.util.UUID;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * The options that every command shares that has a version accepted.
 *
 * @param operationId names this action, also when it has to be repeated
 * @param author for the audit trail
 * @param summary for the audit trail
 * @param dryRun whether to write nothing
 * @param await whether to wait until the version is in force everywhere
 * @param timeout how long to wait
 */
record ChangeOptions(
        String operationId, String author, String summary, boolean dryRun, boolean await, Duration timeout) {
    static void declare(Options options) {
        options.add(Message.OPTION_DRY_RUN, "--dry-run").action(Arguments.storeTrue());
        options.add(Message.OPTION_OPERATION_ID, "--operation-id").metavar("ID");
        options.add(Message.OPTION_AUTHOR, "--author").metavar("NAME").setDefault(System.getProperty("user.name"));
        options.add(Message.OPTION_MESSAGE, "--message", "-m").metavar("TEXT").setDefault("");
        options.add(Message.OPTION_WAIT, "--wait").action(Arguments.storeTrue());
        options.add(Message.OPTION_TIMEOUT, "--timeout").metavar("TIME").setDefault("60s");
        AdminConnection.declare(options);
    }

    static ChangeOptions read(Namespace options) {
        // Made here and not at the daemon: after a lost answer, only an id that is known on this side
        // lets the operator repeat the change without making it twice.
        String given = options.getString("operation_id");
        return new ChangeOptions(
                given == null ? UUID.randomUUID().toString() : given,
                options.getString("author"),
                options.getString("message"),
                options.getBoolean("dry_run"),
                options.getBoolean("wait"),
                Times.duration("--timeout", options.getString("timeout")));
    }
}
