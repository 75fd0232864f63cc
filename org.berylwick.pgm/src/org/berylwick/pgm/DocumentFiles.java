package org.berylwick.pgm;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.berylwick.proto.Document;

/** Reads declarations from files, and from the {@code .toml} files of folders. */
final class DocumentFiles {
    private DocumentFiles() {}

    /**
     * Reads all paths in order, the files of a folder by name.
     *
     * @throws BadInputException if one cannot be read or a folder holds none
     */
    static List<Document> read(List<String> paths) {
        List<Document> documents = new ArrayList<>();
        for (String path : paths) {
            try {
                for (Path file : files(Path.of(path))) {
                    documents.add(Document.newBuilder()
                            .setName(file.toString())
                            .setText(Files.readString(file, StandardCharsets.UTF_8))
                            .build());
                }
            } catch (IOException | InvalidPathException e) {
                throw new BadInputException(Messages.text(Message.BAD_FILE, path, e));
            }
        }
        return documents;
    }

    private static List<Path> files(Path path) throws IOException {
        if (!Files.isDirectory(path)) {
            return List.of(path);
        }
        try (Stream<Path> files = Files.list(path)) {
            List<Path> found =
                    files.filter(f -> f.toString().endsWith(".toml")).sorted().toList();
            if (found.isEmpty()) {
                throw new BadInputException(Messages.text(Message.EMPTY_FOLDER, path));
            }
            return found;
        }
    }
}
