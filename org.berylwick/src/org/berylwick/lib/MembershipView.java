package org.berylwick.lib;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** An immutable view of all known members; a request pins one at its start. */
public final class MembershipView {
    /** No members known. */
    public static final MembershipView EMPTY = new MembershipView(List.of());

    private final Map<String, Member> byInstance;
    private final Map<String, List<Member>> byService;

    /** Builds a view of {@code members}, whose instance names must differ. */
    public MembershipView(Collection<Member> members) {
        Map<String, Member> instances = new HashMap<>();
        Map<String, List<Member>> services = new HashMap<>();
        for (Member m : members) {
            instances.put(m.instance(), m);
            services.computeIfAbsent(m.service(), s -> new ArrayList<>()).add(m);
        }
        services.values().forEach(list -> list.sort(Comparator.comparing(Member::instance)));
        byInstance = Map.copyOf(instances);
        byService = Map.copyOf(services);
    }

    /** The member called {@code instance}. */
    public Optional<Member> find(String instance) {
        return Optional.ofNullable(byInstance.get(instance));
    }

    /** All members of a service in any state, sorted by instance name; unmodifiable use only. */
    public List<Member> ofService(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** All members in no given order. */
    public Collection<Member> all() {
        return byInstance.values();
    }
}
