package org.berylwick.pgm;

import io.grpc.StatusRuntimeException;
import java.io.PrintStream;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Finds the command and runs it. */
public final class Main {
    private static final List<Command> COMMANDS = List.of(new Apply(), new Status(), new Members());

    private Main() {}

    /** The entry point of {@code berylwick}. */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err));
    }

    /** Runs one command line and gives the exit status. */
    public static int run(String[] args, PrintStream out, PrintStream err) {
        ArgumentParser parser = ArgumentParsers.newFor("berylwick")
                .build()
                .description("Declares the configuration of the mesh and reads back what is in force.");
        AdminConnection.declare(parser);
        Subparsers commands = parser.addSubparsers().dest("command").metavar("COMMAND");
        COMMANDS.forEach(c -> c.declare(commands.addParser(c.name())));
        Terminal terminal = new Terminal(out, err);
        try {
            Namespace options = parser.parseArgs(args);
            return find(options.getString("command")).run(options, terminal).status();
        } catch (ArgumentParserException e) {
            parser.handleError(e, new java.io.PrintWriter(err, true));
            return ExitCode.BAD_INPUT.status();
        } catch (StatusRuntimeException e) {
            err.println("berylwick: the daemon did not answer: " + e.getStatus());
            return ExitCode.UNREACHABLE.status();
        }
    }

    private static Command find(String name) {
        return COMMANDS.stream().filter(c -> c.name().equals(name)).findFirst().orElseThrow();
    }
}
