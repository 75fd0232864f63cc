package org.berylwick.daemon.call;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.berylwick.lib.Member;

/** How loaded each member is, as far as this daemon knows: own requests in flight, and what replies reported. */
final class PeerLoads {
    private final Map<String, Entry> entries = new ConcurrentHashMap<>();

    private static final class Entry {
        private final AtomicInteger inFlight = new AtomicInteger();
        private volatile int reported;
    }

    private Entry entry(String instance) {
        return entries.computeIfAbsent(instance, i -> new Entry());
    }

    /** A request goes out. */
    void begin(Member member) {
        entry(member.instance()).inFlight.incrementAndGet();
    }

    /** A request is over. */
    void end(Member member) {
        entry(member.instance()).inFlight.decrementAndGet();
    }

    /** A reply reported the load at its owner. */
    void report(Member member, int load) {
        entry(member.instance()).reported = load;
    }

    /** Requests at the member: what it reported, or what went there from here if that is more. */
    int load(Member member) {
        Entry e = entry(member.instance());
        return Math.max(e.inFlight.get(), e.reported);
    }
}
