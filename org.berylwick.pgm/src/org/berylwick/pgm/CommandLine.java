package org.berylwick.pgm;

import java.io.PrintWriter;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * The whole grammar.
 *
 * @param parser reads arguments
 * @param options of each command, by its word
 */
record CommandLine(ArgumentParser parser, Map<String, Options> options) {
    /** Declares every command. */
    static CommandLine create() {
        ArgumentParser parser = ArgumentParsers.newFor("berylwick")
                .terminalWidthDetection(false)
                .defaultFormatWidth(110)
                .build()
                .description(Messages.text(Message.DESCRIPTION));
        AdminConnection.declare(parser);
        Subparsers subparsers = parser.addSubparsers().dest("command").metavar("COMMAND");
        Map<String, Options> options = new LinkedHashMap<>();
        for (Command c : Commands.ALL) {
            Subparser subparser =
                    subparsers.addParser(c.name()).help(Messages.text(c.help())).description(Messages.text(c.help()));
            Options declared = new Options(subparser);
            c.declare(declared);
            options.put(c.name(), declared);
        }
        return new CommandLine(parser, options);
    }

    /**
     * Prints the help that was asked for.
     *
     * <p>The parser's own epilog would be filled like a paragraph; examples need their lines.
     *
     * @param asked the whole grammar's parser, or one command's
     * @param args the arguments, one of which names the command then
     */
    void printHelp(ArgumentParser asked, List<String> args, Terminal terminal) {
        PrintWriter writer = new PrintWriter(terminal.out());
        asked.printHelp(writer);
        writer.flush();
        terminal.print("");
        String end = Commands.ALL.stream()
                .filter(c -> asked != parser && args.contains(c.name()))
                .findFirst()
                .map(c -> Messages.text(Message.EXAMPLES, Messages.text(c.examples())))
                .orElseGet(() -> Messages.text(Message.EPILOG));
        terminal.print(end);
    }
}
