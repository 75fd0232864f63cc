package org.berylwick.internal.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.internal.routing.RoutingTable;
import org.berylwick.lib.AuditEntry;
import org.berylwick.lib.Brand;
import org.berylwick.lib.Configuration;
import org.berylwick.lib.Digest;
import org.berylwick.lib.ObjectRef;
import org.berylwick.lib.Policy;
import org.berylwick.lib.Result;
import org.berylwick.lib.Route;
import org.berylwick.lib.ServiceSpec;
import org.berylwick.lib.Snapshot;
import org.berylwick.lib.VersionId;

/**
 * One version as bytes under content hashes, the form in which it is stored and spread.
 *
 * @param id which version
 * @param manifest the table of contents
 * @param manifestBytes what {@code id.digest()} is the hash of
 * @param parts content by its digest; each part is one declared object
 */
public record VersionContent(VersionId id, Manifest manifest, byte[] manifestBytes, Map<Digest, byte[]> parts) {
    /** Before the first version. */
    public static final VersionContent NONE = new VersionContent(
            VersionId.NONE,
            new Manifest(0, VersionId.NONE.digest().hex(), List.of(), Snapshot.NONE.audit(), new TreeMap<>()),
            new byte[0],
            Map.of());

    /** Copies the map. */
    public VersionContent {
        parts = Map.copyOf(parts);
    }

    /** Encodes a configuration as the version after {@code previous}, of which no older version is known. */
    public static VersionContent encode(VersionId previous, AuditEntry audit, Configuration configuration) {
        return encode(previous, List.of(previous.digest().abbreviated()), audit, configuration);
    }

    /** Encodes a configuration as the version after {@code base}. */
    public static VersionContent encodeAfter(VersionContent base, AuditEntry audit, Configuration configuration) {
        List<String> ancestors = new ArrayList<>();
        ancestors.add(base.id().digest().abbreviated());
        base.manifest().ancestors().stream().limit(Manifest.MAX_ANCESTORS - 1).forEach(ancestors::add);
        return encode(base.id(), ancestors, audit, configuration);
    }

    private static VersionContent encode(
            VersionId previous, List<String> ancestors, AuditEntry audit, Configuration configuration) {
        SortedMap<String, String> index = new TreeMap<>();
        Map<Digest, byte[]> parts = new HashMap<>();
        configuration.brands().values().forEach(o -> add(index, parts, ObjectRef.Kind.BRAND, o.name(), o));
        configuration.routes().values().forEach(o -> add(index, parts, ObjectRef.Kind.ROUTE, o.name(), o));
        configuration.policies().values().forEach(o -> add(index, parts, ObjectRef.Kind.POLICY, o.name(), o));
        configuration.services().values().forEach(o -> add(index, parts, ObjectRef.Kind.SERVICE, o.name(), o));
        Manifest manifest =
                new Manifest(previous.number() + 1, previous.digest().hex(), ancestors, audit, index);
        byte[] bytes = ConfigurationCodec.encode(manifest);
        return new VersionContent(new VersionId(manifest.number(), Digest.of(bytes)), manifest, bytes, parts);
    }

    private static void add(
            SortedMap<String, String> index,
            Map<Digest, byte[]> parts,
            ObjectRef.Kind kind,
            String name,
            Object object) {
        byte[] content = ConfigurationCodec.encode(object);
        Digest digest = Digest.of(content);
        index.put(new ObjectRef(kind, name).toString(), digest.hex());
        parts.put(digest, content);
    }

    /**
     * Reads a manifest that is to be version {@code id}.
     *
     * @return the manifest, or why it is not that version's
     */
    public static Result<Manifest, String> readManifest(VersionId id, byte[] bytes) {
        if (!Digest.of(bytes).equals(id.digest())) {
            return Result.err("the manifest of " + id + " has another digest");
        }
        return ConfigurationCodec.decode(bytes, Manifest.class).flatMap(m -> checkManifest(id, m));
    }

    private static Result<Manifest, String> checkManifest(VersionId id, Manifest manifest) {
        if (manifest.number() != id.number()) {
            return Result.err("the manifest of " + id + " is numbered " + manifest.number());
        }
        try {
            new Digest(manifest.previousDigest());
            manifest.parts().forEach((name, hex) -> {
                ObjectRef.fromString(name);
                new Digest(hex);
            });
            return Result.ok(manifest);
        } catch (IllegalArgumentException e) {
            return Result.err("the manifest of " + id + " cannot be read: " + e.getMessage());
        }
    }

    /**
     * Puts a version together from a manifest and parts from anywhere.
     *
     * <p>Every byte is checked against its digest, so a corrupted or cut part makes the whole version fail and nothing
     * of it is installed.
     *
     * @return the whole version, or what is missing or wrong
     */
    public static Result<VersionContent, String> assemble(
            VersionId id, byte[] manifestBytes, Map<Digest, byte[]> available) {
        return readManifest(id, manifestBytes).flatMap(manifest -> {
            Map<Digest, byte[]> parts = new HashMap<>();
            for (Map.Entry<String, String> e : manifest.parts().entrySet()) {
                Digest digest = new Digest(e.getValue());
                byte[] content = available.get(digest);
                if (content == null) {
                    return Result.err(id + " lacks part " + e.getKey());
                }
                if (!Digest.of(content).equals(digest)) {
                    return Result.err(id + " has a corrupted part " + e.getKey());
                }
                parts.put(digest, content);
            }
            return Result.ok(new VersionContent(id, manifest, manifestBytes, parts));
        });
    }

    /** Decodes every part and compiles the routing table; the error names the part that cannot be read. */
    public Result<Snapshot, String> toSnapshot() {
        SortedMap<String, Brand> brands = new TreeMap<>();
        SortedMap<String, Route> routes = new TreeMap<>();
        SortedMap<String, Policy> policies = new TreeMap<>();
        SortedMap<String, ServiceSpec> services = new TreeMap<>();
        for (Map.Entry<String, String> e : manifest.parts().entrySet()) {
            ObjectRef ref = ObjectRef.fromString(e.getKey());
            byte[] content = parts.get(new Digest(e.getValue()));
            Result<?, String> decoded = switch (ref.kind()) {
                case BRAND -> decodeInto(content, Brand.class, Brand::name, ref, brands);
                case ROUTE -> decodeInto(content, Route.class, Route::name, ref, routes);
                case POLICY -> decodeInto(content, Policy.class, Policy::name, ref, policies);
                case SERVICE -> decodeInto(content, ServiceSpec.class, ServiceSpec::name, ref, services);
            };
            if (decoded instanceof Result.Err<?, String>(String detail)) {
                return Result.err(ref + ": " + detail);
            }
        }
        Configuration configuration = new Configuration(brands, routes, policies, services);
        return Result.ok(new Snapshot(id, configuration, manifest.audit(), RoutingTable.compile(configuration)));
    }

    private static <T> Result<T, String> decodeInto(
            byte[] content, Class<T> type, Function<T, String> nameOf, ObjectRef ref, Map<String, T> into) {
        return ConfigurationCodec.decode(content, type).flatMap(value -> {
            if (!nameOf.apply(value).equals(ref.name())) {
                return Result.err("is named " + nameOf.apply(value));
            }
            into.put(ref.name(), value);
            return Result.ok(value);
        });
    }
}
