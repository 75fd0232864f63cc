package org.berylwick.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import net.sourceforge.argparse4j.inf.Namespace;
import org.berylwick.lib.ObjectRef;
import org.berylwick.proto.GetConfigurationReply;
import org.berylwick.proto.GetConfigurationRequest;

/** Reads the declared objects of a version back. */
final class Get implements Command {
    private static final Map<ObjectRef.Kind, String> FIELDS = Map.of(
            ObjectRef.Kind.BRAND, "brands",
            ObjectRef.Kind.POLICY, "policies",
            ObjectRef.Kind.ROUTE, "routes",
            ObjectRef.Kind.SERVICE, "services");

    @Override
    public String name() {
        return "get";
    }

    @Override
    public Message help() {
        return Message.GET_HELP;
    }

    @Override
    public Message examples() {
        return Message.GET_EXAMPLES;
    }

    @Override
    public void declare(Options options) {
        options.add(Message.OPTION_OBJECT, "object").metavar("KIND[/NAME]").nargs("?");
        options.add(Message.OPTION_VERSION, "--version")
                .metavar("VERSION")
                .type(Long.class)
                .setDefault(0L);
        AdminConnection.declare(options);
    }

    @Override
    public ExitCode run(Namespace options, Terminal terminal) {
        String object = options.getString("object");
        ObjectRef wanted = object == null ? null : ref(object);
        GetConfigurationReply reply = AdminConnection.open(options, terminal)
                .getConfiguration(GetConfigurationRequest.newBuilder()
                        .setVersion(options.getLong("version"))
                        .build());
        ObjectNode configuration = (ObjectNode) Json.read(reply.getJson());
        if (wanted != null && !wanted.name().isEmpty()) {
            return printObject(configuration, wanted, reply.getVersion(), options, terminal);
        }
        if (wanted != null) {
            configuration.retain(FIELDS.get(wanted.kind()));
        }
        if (Output.isJson(options)) {
            terminal.print(Json.print(configuration));
            return ExitCode.OK;
        }
        terminal.print(Messages.text(Message.VERSION, reply.getVersion()));
        printList(configuration, terminal);
        return ExitCode.OK;
    }

    private static ObjectRef ref(String text) {
        try {
            return ObjectRef.fromString(text.contains("/") ? text : text + "/");
        } catch (IllegalArgumentException e) {
            throw new BadInputException(Messages.text(Message.BAD_OBJECT, text));
        }
    }

    private static ExitCode printObject(
            ObjectNode configuration, ObjectRef wanted, long version, Namespace options, Terminal terminal) {
        JsonNode found = configuration.path(FIELDS.get(wanted.kind())).path(wanted.name());
        if (found.isMissingNode()) {
            terminal.tell(Message.NO_OBJECT, version, wanted, wanted.kind().word());
            return ExitCode.BAD_INPUT;
        }
        if (Output.isJson(options)) {
            terminal.print(Json.print(found));
            return ExitCode.OK;
        }
        Table table = new Table("FIELD", "VALUE");
        found.properties().forEach(f -> table.add(f.getKey(), f.getValue()));
        table.print(terminal);
        return ExitCode.OK;
    }

    private static void printList(ObjectNode configuration, Terminal terminal) {
        Table table = new Table("KIND", "NAME", "DECLARED AS");
        for (ObjectRef.Kind kind : ObjectRef.Kind.values()) {
            configuration.path(FIELDS.get(kind)).properties().forEach(e -> {
                ObjectNode fields = ((ObjectNode) e.getValue()).deepCopy();
                fields.remove("name");
                table.add(kind.word(), e.getKey(), fields);
            });
        }
        table.print(terminal);
    }
}
