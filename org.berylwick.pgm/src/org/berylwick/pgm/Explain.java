package org.berylwick.pgm;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import org.berylwick.api.ExplainCommand;
import org.berylwick.api.ExplainResult;

/** Tells the story of one request from logs, without asking any daemon. */
final class Explain implements Command {
    private static final String STANDARD_INPUT = "-";

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public Message help() {
        return Message.EXPLAIN_HELP;
    }

    @Override
    public Message examples() {
        return Message.EXPLAIN_EXAMPLES;
    }

    @Override
    public void declare(Options options) {
        options.add(Message.OPTION_REQUEST_ID, "id").metavar("ID");
        options.add(Message.OPTION_LOGS, "logs").metavar("FILE").nargs("*");
        AdminConnection.declareOutput(options);
    }

    @Override
    public ExitCode run(Namespace options, Terminal terminal) {
        String id = options.getString("id");
        ExplainCommand command = new ExplainCommand().setRequestId(id);
        List<String> files = options.getList("logs");
        for (String file : files.isEmpty() ? List.of(STANDARD_INPUT) : files) {
            readInto(command, file);
        }
        ExplainResult result = command.call();
        if (Output.isJson(options)) {
            terminal.print(Json.print(result));
        }
        return switch (result) {
            case ExplainResult.Unknown(int lines) -> {
                terminal.tell(Message.EXPLAIN_UNKNOWN, id, lines);
                yield ExitCode.BAD_INPUT;
            }
            case ExplainResult.Story(List<ExplainResult.Step> steps, int lines) -> {
                if (!Output.isJson(options)) {
                    steps.forEach(s -> terminal.print(line(s)));
                }
                yield ExitCode.OK;
            }
        };
    }

    private static String line(ExplainResult.Step step) {
        return (step.own() ? "* " : "  ") + Instant.ofEpochMilli(step.millis()) + "  " + step.node() + "  "
                + step.event() + "  " + step.details();
    }

    private static void readInto(ExplainCommand command, String file) {
        try (BufferedReader reader = new BufferedReader(open(file))) {
            reader.lines().forEach(command::addLine);
        } catch (IOException | InvalidPathException e) {
            throw new BadInputException(Messages.text(Message.BAD_FILE, file, e));
        }
    }

    private static Reader open(String file) throws IOException {
        // Logs of killed processes end anywhere, also within a character.
        return STANDARD_INPUT.equals(file)
                ? new InputStreamReader(System.in, StandardCharsets.ISO_8859_1)
                : Files.newBufferedReader(Path.of(file), StandardCharsets.ISO_8859_1);
    }
}
