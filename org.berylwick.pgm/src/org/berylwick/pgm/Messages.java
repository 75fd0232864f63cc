package org.berylwick.pgm;

import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.text.MessageFormat;
import java.util.Arrays;
import java.util.Locale;
import java.util.Properties;

/** The catalogue of all text that the command line prints, {@code messages.properties}. */
final class Messages {
    private static final Properties TEXTS = load();

    private Messages() {}

    private static Properties load() {
        Properties texts = new Properties();
        try (InputStream in = Messages.class.getResourceAsStream("messages.properties")) {
            texts.load(new InputStreamReader(in, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException("the program lacks its messages", e);
        }
        return texts;
    }

    /** The text with {@code {0}}, {@code {1}} and so on replaced by the values as they print. */
    static String text(Message message, Object... values) {
        Object[] printed = Arrays.stream(values).map(String::valueOf).toArray();
        return new MessageFormat(pattern(message), Locale.ROOT).format(printed);
    }

    private static String pattern(Message message) {
        String pattern = TEXTS.getProperty(message.name());
        if (pattern == null) {
            throw new IllegalStateException("no text for " + message);
        }
        return pattern;
    }
}
