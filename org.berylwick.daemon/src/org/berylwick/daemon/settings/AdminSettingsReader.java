package org.berylwick.daemon.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import org.berylwick.daemon.settings.DaemonSettings.Admin;
import org.berylwick.internal.toml.TableReader;

/** Reads the table {@code [admin]}. */
final class AdminSettingsReader {
    /** The environment variable that may hold the token in place of a file. */
    static final String TOKEN_VARIABLE = "BERYLWICK_ADMIN_TOKEN";

    private static final int MIN_REQUEST_BYTES = 1 << 10;
    private static final int MAX_REQUEST_BYTES = 64 << 20;
    private static final int DEFAULT_REQUEST_BYTES = 4 << 20;

    private AdminSettingsReader() {}

    static Admin read(TableReader t, Map<String, String> environment) {
        Optional<AdminToken> fromFile = t.parsed("token_file", AdminSettingsReader::readToken);
        int maxRequestBytes = t.sizeBytes("max_request", MIN_REQUEST_BYTES, MAX_REQUEST_BYTES, DEFAULT_REQUEST_BYTES);
        t.finish();
        String variable = environment.get(TOKEN_VARIABLE);
        if (variable == null) {
            return new Admin(fromFile, maxRequestBytes);
        }
        try {
            return new Admin(Optional.of(AdminToken.of(variable)), maxRequestBytes);
        } catch (IllegalArgumentException e) {
            t.fault("token_file", TOKEN_VARIABLE + ": " + e.getMessage());
            return new Admin(Optional.empty(), maxRequestBytes);
        }
    }

    private static AdminToken readToken(String file) {
        try {
            return AdminToken.of(
                    Files.readString(Path.of(file), StandardCharsets.UTF_8).strip());
        } catch (IOException | InvalidPathException e) {
            throw new IllegalArgumentException("cannot read the token file: " + e, e);
        }
    }
}
