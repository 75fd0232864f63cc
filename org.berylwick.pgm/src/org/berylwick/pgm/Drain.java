package org.berylwick.pgm;

import net.sourceforge.argparse4j.inf.Namespace;

/** Takes the backend server beside a daemon out of service. */
final class Drain implements Command {
    @Override
    public String name() {
        return "drain";
    }

    @Override
    public Message help() {
        return Message.DRAIN_HELP;
    }

    @Override
    public Message examples() {
        return Message.DRAIN_EXAMPLES;
    }

    @Override
    public void declare(Options options) {
        DrainCall.declare(options);
    }

    @Override
    public ExitCode run(Namespace options, Terminal terminal) {
        return DrainCall.run(options, terminal, true);
    }
}
