package org.berylwick.testing;

import java.util.ArrayList;
import java.util.List;

/**
 * A response of a server that ends within its bytes, and the request that gets it.
 *
 * @param form the complete response
 * @param length number of bytes that are sent
 * @param ending what follows them
 * @param method method of the request
 * @param onReusedConnection whether the connection has carried a complete response before
 */
public record CutResponse(Form form, int length, Ending ending, String method, boolean onReusedConnection) {
    private static final List<Ending> ENDINGS = List.of(Ending.END_OF_STREAM, Ending.LATER_END_OF_STREAM, Ending.RESET);
    private static final List<String> METHODS = List.of("GET", "POST");
    private static final int SILENCE_STEP = 40;

    /** How a response ends. */
    public enum Ending {
        END_OF_STREAM,
        /** The end of the stream is read apart from the last bytes. */
        LATER_END_OF_STREAM,
        RESET,
        SILENCE
    }

    /** When a server has sent all that its response needs. */
    public enum Completion {
        WITH_LAST_BYTE,
        /** The head states that the request was not run. */
        WITH_HEAD,
        AT_END_OF_STREAM,
        /** The response has no length, and its end is not accepted as complete. */
        NEVER
    }

    /**
     * A complete response.
     *
     * @param name names the form in failures
     * @param template the bytes, with {@code {id}} for the request id
     * @param body the body of the response
     * @param completion when the response is complete
     */
    public record Form(String name, String template, String body, Completion completion) {
        /** Returns the bytes of the response to a request. */
        String text(String id) {
            return template.replace("{id}", id);
        }

        /** Number of bytes up to the body, with interim responses. */
        private int headLength(String id) {
            String text = text(id);
            return text.indexOf("\r\n\r\n", text.lastIndexOf("HTTP/1.1")) + 4;
        }
    }

    /**
     * Every cut of each form, the complete response included: with GET and with POST on new connections, with GET and
     * POST in turn on reused ones. The endings take turns.
     */
    public static List<CutResponse> everyCut(List<Form> forms, boolean onReusedConnection) {
        List<CutResponse> cuts = new ArrayList<>();
        for (Form form : forms) {
            int bytes = form.text(CutSweep.id(0)).length();
            for (int length = 0; length <= bytes; length++) {
                for (int method = 0; method < METHODS.size(); method++) {
                    if (!onReusedConnection || length % METHODS.size() == method) {
                        Ending ending = ENDINGS.get((length + method) % ENDINGS.size());
                        cuts.add(new CutResponse(form, length, ending, METHODS.get(method), onReusedConnection));
                    }
                }
            }
        }
        return cuts;
    }

    /** Some cuts of each form on new connections, followed by silence. */
    public static List<CutResponse> silences(List<Form> forms) {
        return everyCut(forms, false).stream()
                .filter(cut -> cut.length() % SILENCE_STEP == 0)
                .map(cut -> new CutResponse(cut.form(), cut.length(), Ending.SILENCE, cut.method(), false))
                .toList();
    }

    /** The bytes that are sent. */
    String sentText(String id) {
        return form.text(id).substring(0, length);
    }

    /** Whether the server has sent all that its response needs. */
    boolean isComplete(String id) {
        return switch (form.completion()) {
            case WITH_LAST_BYTE -> length == form.text(id).length();
            case WITH_HEAD -> length >= form.headLength(id);
            case AT_END_OF_STREAM -> length >= form.headLength(id) && isEndOfStream();
            case NEVER -> false;
        };
    }

    private boolean isEndOfStream() {
        return ending == Ending.END_OF_STREAM || ending == Ending.LATER_END_OF_STREAM;
    }

    /** Body of a complete response. */
    String body(String id) {
        return form.completion() == Completion.AT_END_OF_STREAM
                ? sentText(id).substring(form.headLength(id))
                : form.body();
    }
}
