package org.berylwick.docs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.net.URISyntaxException;
import java.nio.file.FileSystem;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.berylwick.daemon.BerylwickDaemon;
import org.berylwick.lib.Configuration;
import org.berylwick.testing.AdminFixture;
import org.junit.jupiter.api.Test;

/**
 * The page of metrics and the names' constants say the same.
 *
 * <p>Names stand as constants in classes called {@code ...Metrics}, {@code ...MetricNames} or {@code ...Meter}; a
 * constant that ends with a dot is the beginning of several names.
 */
class MetricsPageTest {
    private static final Path PAGE = Path.of("..", "docs", "METRICS.md");
    private static final Pattern ROW = Pattern.compile(
            "\\| `([a-z0-9.*-]+)` \\| (counter|gauge|histogram|meter|timer) \\| ([^|]+) \\| ([^|]+) \\|");
    private static final Pattern HOLDER = Pattern.compile("org/berylwick/.*(Metrics|MetricNames|Meter)\\.class");
    private static final Pattern NAME = Pattern.compile("[a-z][a-z0-9-]*(\\.[a-z0-9-]+)+\\.?");

    private static Set<String> namesOnPage() throws IOException {
        Set<String> names = new TreeSet<>();
        for (String line : Files.readAllLines(PAGE)) {
            Matcher m = ROW.matcher(line);
            if (m.matches()) {
                assertTrue(names.add(m.group(1)), () -> "twice on the page: " + m.group(1));
            } else {
                assertFalse(line.startsWith("| `"), () -> "cannot read the row " + line);
            }
        }
        return names;
    }

    private static Set<String> namesInCode() throws IOException, URISyntaxException {
        Set<String> names = new TreeSet<>();
        for (Class<?> module : List.of(Configuration.class, BerylwickDaemon.class)) {
            for (Class<?> holder : holders(module)) {
                for (Field f : holder.getDeclaredFields()) {
                    if (f.getType() == String.class && Modifier.isStatic(f.getModifiers())) {
                        nameIn(f).ifPresent(names::add);
                    }
                }
            }
        }
        return names;
    }

    private static Optional<String> nameIn(Field field) {
        try {
            field.setAccessible(true);
            String value = (String) field.get(null);
            return Optional.of(value).filter(v -> NAME.matcher(v).matches()).map(v -> v.endsWith(".") ? v + "*" : v);
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }

    private static List<Class<?>> holders(Class<?> module) throws IOException, URISyntaxException {
        Path code = Path.of(
                module.getProtectionDomain().getCodeSource().getLocation().toURI());
        if (Files.isDirectory(code)) {
            return holders(code, module.getClassLoader());
        }
        try (FileSystem jar = FileSystems.newFileSystem(code)) {
            return holders(jar.getPath("/"), module.getClassLoader());
        }
    }

    private static List<Class<?>> holders(Path root, ClassLoader loader) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            return files.map(f -> root.relativize(f).toString())
                    .filter(f -> HOLDER.matcher(f).matches())
                    .map(f -> f.substring(0, f.length() - ".class".length()).replace('/', '.'))
                    .map(name -> load(name, loader))
                    .collect(Collectors.toList());
        }
    }

    private static Class<?> load(String name, ClassLoader loader) {
        try {
            return Class.forName(name, false, loader);
        } catch (ClassNotFoundException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void pageAndConstantsHaveTheSameNames() throws IOException, URISyntaxException {
        assertEquals(String.join("\n", namesInCode()), String.join("\n", namesOnPage()));
    }

    @Test
    void whatTheAdminServiceRegistersIsOnThePage() throws IOException {
        Set<String> onPage = namesOnPage();
        try (AdminFixture daemon = new AdminFixture()) {
            for (String name : daemon.metrics().getNames()) {
                assertTrue(onPage.contains(name), () -> "not on the page: " + name);
            }
        }
    }
}
