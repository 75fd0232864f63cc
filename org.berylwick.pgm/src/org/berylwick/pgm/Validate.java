package org.berylwick.pgm;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import org.berylwick.api.ValidateCommand;
import org.berylwick.api.ValidateResult;
import org.berylwick.errors.Fault;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.ObjectChange;
import org.berylwick.lib.Result;

/** Checks declarations without asking any daemon. */
final class Validate implements Command {
    @Override
    public String name() {
        return "validate";
    }

    @Override
    public Message help() {
        return Message.VALIDATE_HELP;
    }

    @Override
    public Message examples() {
        return Message.VALIDATE_EXAMPLES;
    }

    @Override
    public void declare(Options options) {
        options.add(Message.OPTION_PATHS, "paths").metavar("PATH").nargs("+");
        options.add(Message.OPTION_ON, "--on").metavar("FILE");
        AdminConnection.declareOutput(options);
    }

    @Override
    public ExitCode run(Namespace options, Terminal terminal) {
        ValidateCommand command = new ValidateCommand();
        DocumentFiles.read(options.getList("paths")).forEach(d -> command.addDocument(d.getName(), d.getText()));
        String base = options.getString("on");
        if (base != null) {
            command.setBase(readBase(base));
        }
        ValidateResult result = command.call();
        if (Output.isJson(options)) {
            terminal.print(Json.print(result));
        }
        return switch (result) {
            case ValidateResult.Valid(List<ObjectChange> changes) -> {
                if (!Output.isJson(options)) {
                    terminal.print(Messages.text(Message.VALID, changes.size()));
                }
                yield ExitCode.OK;
            }
            case ValidateResult.Invalid(List<Fault> faults) -> {
                faults.forEach(terminal.err()::println);
                terminal.tell(Message.INVALID, faults.size());
                yield ExitCode.BAD_INPUT;
            }
        };
    }

    private static Configuration readBase(String file) {
        byte[] content;
        try {
            content = Files.readAllBytes(Path.of(file));
        } catch (IOException | InvalidPathException e) {
            throw new BadInputException(Messages.text(Message.BAD_FILE, file, e));
        }
        return switch (ConfigurationCodec.decode(content, Configuration.class)) {
            case Result.Ok<Configuration, String>(Configuration configuration) -> configuration;
            case Result.Err<Configuration, String>(String detail) ->
                throw new BadInputException(Messages.text(
                        Message.BAD_BASE_FILE, file, detail.lines().findFirst().orElse("")));
        };
    }
}
