package org.berylwick.pgm;

import io.grpc.StatusRuntimeException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Finds the command and runs it. */
public final class Main {
    private Main() {}

    /** The entry point of {@code berylwick}. */
    public static void main(String[] args) {
        System.exit(run(args, Terminal.ofProcess()).status());
    }

    /** Runs one command line and gives the exit status. */
    public static int run(String[] args, PrintStream out, PrintStream err, Map<String, String> environment) {
        return run(args, new Terminal(out, err, environment, false)).status();
    }

    private static ExitCode run(String[] args, Terminal terminal) {
        CommandLine commandLine = CommandLine.create();
        ArgumentParser parser = commandLine.parser();
        Namespace options;
        try {
            options = parser.parseArgs(args);
        } catch (HelpScreenException e) {
            commandLine.printHelp(e.getParser(), List.of(args), terminal);
            return ExitCode.OK;
        } catch (ArgumentParserException e) {
            e.getParser().handleError(e, new PrintWriter(terminal.err(), true));
            terminal.tell(Message.SEE_HELP);
            return ExitCode.BAD_INPUT;
        }
        try {
            return Commands.find(options.getString("command")).run(options, terminal);
        } catch (BadInputException e) {
            terminal.err().println(Messages.text(Message.PREFIX, e.getMessage()));
            return ExitCode.BAD_INPUT;
        } catch (StatusRuntimeException e) {
            return Failures.tell(e, AdminConnection.address(options, terminal), terminal);
        }
    }
}
