package org.berylwick.internal.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.ToIntFunction;
import org.berylwick.lib.Member;
import org.berylwick.lib.MembershipView;
import org.berylwick.lib.Place;

/** Picks the member that a request goes to: the less loaded of two random ones, nearest place first. */
public final class MemberChooser {
    private final Place own;
    private final ToIntFunction<Member> load;

    /**
     * A chooser.
     *
     * @param own where this process runs
     * @param load requests in flight or waiting at a member, as far as known here
     */
    public MemberChooser(Place own, ToIntFunction<Member> load) {
        this.own = own;
        this.load = load;
    }

    /**
     * Picks a member.
     *
     * @param tried instances that refused this request already
     */
    public Optional<Member> choose(MembershipView members, RouteMatch match, Set<String> tried) {
        List<Member> candidates = new ArrayList<>();
        for (Member m : members.ofService(match.route().service())) {
            if (m.state() == Member.State.UP
                    && !tried.contains(m.instance())
                    && match.route().servers().matches(m.labels())) {
                candidates.add(m);
            }
        }
        List<Member> near = candidates.stream()
                .filter(m -> m.place().equals(own) && load.applyAsInt(m) < m.slots())
                .toList();
        return lessLoadedOfTwo(near.isEmpty() ? candidates : near);
    }

    private Optional<Member> lessLoadedOfTwo(List<Member> candidates) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        ThreadLocalRandom random = ThreadLocalRandom.current();
        Member a = candidates.get(random.nextInt(candidates.size()));
        Member b = candidates.get(random.nextInt(candidates.size()));
        return Optional.of(load.applyAsInt(a) <= load.applyAsInt(b) ? a : b);
    }
}
