package org.berylwick.pgm;

import net.sourceforge.argparse4j.inf.Namespace;

/** Takes the backend server beside a daemon back into service. */
final class Undrain implements Command {
    @Override
    public String name() {
        return "undrain";
    }

    @Override
    public Message help() {
        return Message.UNDRAIN_HELP;
    }

    @Override
    public Message examples() {
        return Message.UNDRAIN_EXAMPLES;
    }

    @Override
    public void declare(Options options) {
        DrainCall.declare(options);
    }

    @Override
    public ExitCode run(Namespace options, Terminal terminal) {
        return DrainCall.run(options, terminal, false);
    }
}
