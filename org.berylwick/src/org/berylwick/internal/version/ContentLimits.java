package org.berylwick.internal.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.berylwick.errors.Fault;
import org.berylwick.internal.config.ConfigurationCodec;
import org.berylwick.internal.config.DeclarationReader.DeclaredAt;
import org.berylwick.lib.Digest;
import org.berylwick.lib.ObjectRef;
import org.berylwick.transport.PlatformStore;

/** Whether a version fits into the values that the platform's store holds. */
public final class ContentLimits {
    private ContentLimits() {}

    /**
     * Finds what is too large, with what takes the space.
     *
     * @param places where objects were declared
     */
    public static List<Fault> check(VersionContent content, Map<ObjectRef, DeclaredAt> places) {
        List<Fault> faults = new ArrayList<>();
        content.manifest().parts().forEach((name, hex) -> {
            int bytes = content.parts().get(new Digest(hex)).length;
            if (bytes > PlatformStore.MAX_VALUE_BYTES) {
                faults.add(oversizedObject(ObjectRef.fromString(name), bytes, places));
            }
        });
        if (content.manifestBytes().length > PlatformStore.MAX_VALUE_BYTES) {
            faults.add(oversizedTable(content));
        }
        return faults;
    }

    private static Fault oversizedObject(ObjectRef ref, int bytes, Map<ObjectRef, DeclaredAt> places) {
        DeclaredAt at = places.getOrDefault(ref, new DeclaredAt(ref + " (in force)", 0));
        String rule = "is " + bytes + " bytes; the store holds " + PlatformStore.MAX_VALUE_BYTES + " in a value";
        return new Fault(at.document(), at.line(), ref.kind().word() + "[" + ref.name() + "]", rule);
    }

    private static Fault oversizedTable(VersionContent content) {
        Manifest manifest = content.manifest();
        int audit = ConfigurationCodec.encode(manifest.audit()).length;
        int bytes = content.manifestBytes().length;
        String rule = "the version's table of contents would be " + bytes + " bytes, of which " + (bytes - audit)
                + " for "
                + manifest.parts().size() + " objects and " + audit + " for the audit entry of "
                + manifest.audit().changes().size() + " changes; the store holds " + PlatformStore.MAX_VALUE_BYTES
                + " in a value: change fewer objects at once, or declare fewer";
        return new Fault("(change)", 0, "(objects)", rule);
    }
}
