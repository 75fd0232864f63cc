package org.berylwick.pgm;

import com.linecorp.armeria.client.grpc.GrpcClientBuilder;
import com.linecorp.armeria.client.grpc.GrpcClients;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.FeatureControl;
import net.sourceforge.argparse4j.inf.Namespace;
import org.berylwick.lib.HostPort;
import org.berylwick.proto.AdminGrpc;

/** Reaches a daemon's operators' service. */
final class AdminConnection {
    /** The environment variable that may hold the token in place of a file. */
    static final String TOKEN_VARIABLE = "BERYLWICK_ADMIN_TOKEN";

    private static final String ADDRESS_VARIABLE = "BERYLWICK_ADMIN";
    private static final String DEFAULT_ADDRESS = "127.0.0.1:8082";
    /** Longer than a daemon takes for any call, so that its answer is heard. */
    private static final Duration TIMEOUT = Duration.ofSeconds(15);

    private AdminConnection() {}

    /** Declares the options of every command, before the command's word. */
    static void declare(ArgumentParser parser) {
        parser.addArgument("--admin").metavar("HOST:PORT").help(Messages.text(Message.OPTION_ADMIN));
        parser.addArgument("--token-file").metavar("FILE").help(Messages.text(Message.OPTION_TOKEN_FILE));
        parser.addArgument("--output", "-o")
                .choices("table", "json")
                .setDefault("table")
                .help(Messages.text(Message.OPTION_OUTPUT));
    }

    /** Declares the same options once more, so that they may follow the command's word too. */
    static void declare(Options options) {
        followUp(options.add(Message.OPTION_ADMIN, "--admin")).metavar("HOST:PORT");
        followUp(options.add(Message.OPTION_TOKEN_FILE, "--token-file")).metavar("FILE");
        declareOutput(options);
    }

    /** Declares {@code --output} alone, for commands that ask no daemon. */
    static void declareOutput(Options options) {
        followUp(options.add(Message.OPTION_OUTPUT, "--output", "-o")).choices("table", "json");
    }

    private static Argument followUp(Argument argument) {
        return argument.action(Arguments.store()).setDefault(FeatureControl.SUPPRESS);
    }

    /** The address that the options, or else the environment, name. */
    static HostPort address(Namespace options, Terminal terminal) {
        String text = Optional.ofNullable(options.getString("admin"))
                .or(() -> terminal.variable(ADDRESS_VARIABLE))
                .orElse(DEFAULT_ADDRESS);
        try {
            return HostPort.fromString(text);
        } catch (IllegalArgumentException e) {
            throw new BadInputException(Messages.text(Message.BAD_ADDRESS, text));
        }
    }

    static AdminGrpc.AdminBlockingStub open(Namespace options, Terminal terminal) {
        GrpcClientBuilder client = GrpcClients.builder("gproto+h2c://" + address(options, terminal))
                .responseTimeout(TIMEOUT)
                .maxResponseLength(0);
        token(options, terminal).ifPresent(t -> client.addHeader("authorization", "Bearer " + t));
        return client.build(AdminGrpc.AdminBlockingStub.class);
    }

    // A token in an argument would stand in the list of processes for every user of the machine to read.
    private static Optional<String> token(Namespace options, Terminal terminal) {
        String file = options.getString("token_file");
        if (file == null) {
            return terminal.variable(TOKEN_VARIABLE);
        }
        try {
            return Optional.of(
                    Files.readString(Path.of(file), StandardCharsets.UTF_8).strip());
        } catch (IOException | InvalidPathException e) {
            throw new BadInputException(Messages.text(Message.BAD_TOKEN_FILE, file, e));
        }
    }
}
