package org.berylwick.pgm;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.util.JsonFormat;
import net.sourceforge.argparse4j.inf.Namespace;

/** Prints answers for programs. */
final class Output {
    private static final JsonFormat.Printer JSON =
            JsonFormat.printer().includingDefaultValueFields().preservingProtoFieldNames();

    private Output() {}

    /** Whether {@code --output json} was given. */
    static boolean isJson(Namespace options) {
        return options.getString("output").equals("json");
    }

    /** Prints a message in protobuf's JSON form, where 64-bit numbers are strings. */
    static void json(Terminal terminal, Message message) {
        try {
            terminal.print(JSON.print(message));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("only messages with Any fields can fail to print", e);
        }
    }
}
