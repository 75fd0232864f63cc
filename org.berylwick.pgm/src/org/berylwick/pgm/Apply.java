package org.berylwick.pgm;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.berylwick.proto.ApplyReply;
import org.berylwick.proto.ApplyRequest;
import org.berylwick.proto.Document;

/** Has declarations accepted as a new version. */
final class Apply implements Command {
    @Override
    public String name() {
        return "apply";
    }

    @Override
    public void declare(Subparser parser) {
        parser.help("have declarations accepted as a new version");
        parser.addArgument("paths").nargs("+").help("TOML files, or folders of them");
        parser.addArgument("--dry-run").action(Arguments.storeTrue()).help("only show what would change");
        parser.addArgument("--operation-id").setDefault("").help("makes a repeat of this change harmless");
        parser.addArgument("--author").setDefault(System.getProperty("user.name"));
        parser.addArgument("--message", "-m").setDefault("").help("one line for the audit trail");
    }

    @Override
    public ExitCode run(Namespace options, Terminal terminal) {
        ApplyRequest.Builder request = ApplyRequest.newBuilder()
                .setDryRun(options.getBoolean("dry_run"))
                .setOperationId(options.getString("operation_id"))
                .setAuthor(options.getString("author"))
                .setSummary(options.getString("message"));
        try {
            for (Object path : options.getList("paths")) {
                for (Path file : documents(Path.of((String) path))) {
                    request.addDocuments(Document.newBuilder()
                            .setName(file.toString())
                            .setText(Files.readString(file, StandardCharsets.UTF_8)));
                }
            }
        } catch (IOException e) {
            terminal.err().println("berylwick: cannot read: " + e.getMessage());
            return ExitCode.BAD_INPUT;
        }
        return print(AdminConnection.open(options).apply(request.build()), options, terminal);
    }

    private static List<Path> documents(Path path) throws IOException {
        if (!Files.isDirectory(path)) {
            return List.of(path);
        }
        try (Stream<Path> files = Files.list(path)) {
            return files.filter(f -> f.toString().endsWith(".toml")).sorted().toList();
        }
    }

    private static ExitCode print(ApplyReply reply, Namespace options, Terminal terminal) {
        reply.getChangesList()
                .forEach(c -> terminal.out()
                        .println(c.getKind() + " " + c.getObject() + "  (brands: "
                                + String.join(", ", c.getBrandsList()) + ")"));
        return switch (reply.getResultCase()) {
            case ACCEPTED -> {
                terminal.out().println("accepted version " + reply.getAccepted().getVersion());
                yield ExitCode.OK;
            }
            case DRY_RUN -> {
                terminal.out()
                        .println("would change version " + reply.getDryRun().getBaseVersion());
                yield ExitCode.OK;
            }
            case UNCHANGED -> {
                terminal.out().println("nothing to change");
                yield ExitCode.OK;
            }
            case REJECTED -> {
                reply.getRejected()
                        .getFaultsList()
                        .forEach(f -> terminal.err()
                                .println(f.getDocument() + ":" + f.getLine() + ": " + f.getField() + ": "
                                        + f.getRule()));
                yield ExitCode.BAD_INPUT;
            }
            case CONFLICT -> {
                terminal.err()
                        .println("conflict with version " + reply.getConflict().getCurrentVersion() + ": "
                                + String.join(", ", reply.getConflict().getObjectsList()));
                yield ExitCode.CONFLICT;
            }
            case UNDECIDED -> {
                terminal.err()
                        .println("not known whether accepted; repeat with --operation-id "
                                + reply.getUndecided().getOperationId());
                yield ExitCode.UNDECIDED;
            }
            case UNAVAILABLE, RESULT_NOT_SET -> {
                terminal.err()
                        .println("nothing changed: " + reply.getUnavailable().getDetail());
                yield ExitCode.UNREACHABLE;
            }
        };
    }
}
