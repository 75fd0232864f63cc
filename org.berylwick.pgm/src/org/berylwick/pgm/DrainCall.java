package org.berylwick.pgm;

import net.sourceforge.argparse4j.inf.Namespace;
import org.berylwick.proto.SetDrainReply;
import org.berylwick.proto.SetDrainRequest;

/** What drain and undrain share. */
final class DrainCall {
    private DrainCall() {}

    static void declare(Options options) {
        options.add(Message.OPTION_INSTANCE, "instance")
                .metavar("INSTANCE")
                .nargs("?")
                .setDefault("");
        options.add(Message.OPTION_AUTHOR, "--author").metavar("NAME").setDefault(System.getProperty("user.name"));
        AdminConnection.declare(options);
    }

    static ExitCode run(Namespace options, Terminal terminal, boolean drain) {
        SetDrainReply reply = AdminConnection.open(options, terminal)
                .setDrain(SetDrainRequest.newBuilder()
                        .setInstance(options.getString("instance"))
                        .setDrain(drain)
                        .setAuthor(options.getString("author"))
                        .build());
        if (Output.isJson(options)) {
            Output.json(terminal, reply);
        } else {
            terminal.print(
                    Messages.text(drain ? Message.DRAINED : Message.UNDRAINED, reply.getInstance(), reply.getState()));
        }
        return ExitCode.OK;
    }
}
