package org.berylwick.bench.quickstart;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** A declaration file that gives one brand of an example another theme and leaves the rest alone. */
final class OneBrandChange implements AutoCloseable {
    /** The theme that the changed brand's traffic carries. */
    static final String THEME = "festival";

    private final Path file;

    /**
     * Writes the file.
     *
     * @param brands the example's brands
     * @param host a host of the brand that is changed
     */
    OneBrandChange(Path brands, String host) throws IOException {
        String table = tableOf(Files.readString(brands), host);
        file = Files.createTempFile("one-brand", ".toml");
        Files.writeString(file, table.replaceAll("x-theme = \"[a-z]+\"", "x-theme = \"" + THEME + "\""));
    }

    private static String tableOf(String brands, String host) {
        for (String table : brands.split("(?=\\[\\[brand]])")) {
            if (table.contains(host)) {
                return table;
            }
        }
        throw new IllegalStateException("no brand has host " + host);
    }

    /** Where the file is until this is closed. */
    Path file() {
        return file;
    }

    @Override
    public void close() throws IOException {
        Files.delete(file);
    }
}
