import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A case that runs as a script: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
interface Case {
    /** What a run needs; whatever is opened is closed after it, the last first. */
    record Setting(Path top, Path temporary, boolean trouble, Record record, List<AutoCloseable> opened) {
        <T extends AutoCloseable> T open(T resource) {
            opened.add(0, resource);
            return resource;
        }
    }

    int run(Setting setting) throws Exception;

    /** Runs a case with the root of the repository and the folder for its record, and ends this process. */
    static void play(String[] args, Case played) throws Exception {
        Path temporary = Files.createTempDirectory("review-2");
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Record record = new Record(Path.of(args[1]).resolve("record.txt"))) {
            Setting setting = new Setting(Path.of(args[0]), temporary, trouble, record, new ArrayList<>());
            record.write("TROUBLE=" + (trouble ? 1 : 0));
            try {
                code = played.run(setting);
            } catch (Exception e) {
                record.write("could not run: " + e);
            } finally {
                for (AutoCloseable each : setting.opened()) {
                    each.close();
                }
            }
            record.write("exit " + code);
        }
        delete(temporary);
        System.exit(code);
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
