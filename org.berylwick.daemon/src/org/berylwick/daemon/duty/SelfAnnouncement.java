package org.berylwick.daemon.duty;

import org.berylwick.daemon.settings.DaemonSettings;
import org.berylwick.internal.kernel.KernelService;
import org.berylwick.internal.spread.LocalMember;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.internal.version.InstalledVersion.InForce;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Member;
import org.berylwick.lib.ServiceSpec;
import org.berylwick.lib.TimeSource;

/** What this daemon says of itself to others; any thread may read or change it. */
public final class SelfAnnouncement implements KernelService, LocalMember {
    /** The name in the kernel. */
    public static final String NAME = "self";

    private static final int DEFAULT_SLOTS = 12;

    private final DaemonSettings settings;
    private final InstalledVersion installed;
    private final TimeSource time;
    private volatile long incarnation;
    private volatile boolean drained;
    private volatile boolean serverDraining;
    private volatile Deadline holdEnd;
    private volatile HostPort address;
    private volatile Member.State state = Member.State.STARTING;

    /** Announces {@link Member.State#STARTING} until told otherwise. */
    public SelfAnnouncement(DaemonSettings settings, InstalledVersion installed, TimeSource time) {
        this.settings = settings;
        this.installed = installed;
        this.address = settings.listen().peers();
        // A replaced process remembers nothing; the clock alone makes its incarnation higher than the last one's.
        this.time = time;
        this.incarnation = time.epochMillis();
        this.holdEnd = Deadline.afterMillis(time, 0);
    }

    @Override
    public String name() {
        return NAME;
    }

    /** Sets the address once the listening port is known, unless the settings advertise another. */
    public void setAddress(HostPort peers) {
        address = settings.listen().advertised().orElse(peers);
    }

    /** Sets whether requests are taken. */
    public void setState(Member.State newState) {
        state = newState;
    }

    /** Whether requests are taken. */
    public Member.State state() {
        if (drained || serverDraining) {
            return Member.State.LEAVING;
        }
        return state == Member.State.UP && !holdEnd.isPast(time) ? Member.State.STARTING : state;
    }

    /** Takes no requests before a deadline, or before {@link #endHold()}. */
    void holdUntil(Deadline deadline) {
        holdEnd = deadline;
    }

    /** Takes requests as soon as the backend server is ready. */
    void endHold() {
        holdEnd = Deadline.afterMillis(time, 0);
    }

    /** Whether an operator has taken the backend server out of service. */
    boolean isDrained() {
        return drained;
    }

    /** Announces {@link Member.State#LEAVING} until {@link #undrain()}. */
    public synchronized void drain() {
        drained = true;
    }

    /**
     * Takes the backend server back in, as {@link Member.State#STARTING} until it passes its health check again.
     *
     * @return false if the process itself is stopping, which nothing takes back
     */
    public synchronized boolean undrain() {
        if (state == Member.State.LEAVING) {
            return false;
        }
        if (drained) {
            drained = false;
            comeBack();
        }
        return true;
    }

    /** Announces {@link Member.State#LEAVING} while the backend server says that it drains. */
    public synchronized void setServerDraining(boolean draining) {
        if (serverDraining && !draining) {
            serverDraining = false;
            comeBack();
        }
        serverDraining = draining;
    }

    private void comeBack() {
        if (state == Member.State.LEAVING) {
            return;
        }
        // Others hold LEAVING under the present incarnation and would take an earlier state for old news.
        incarnation = Math.max(incarnation + 1, time.epochMillis());
        state = Member.State.STARTING;
    }

    @Override
    public synchronized void refute(long higher) {
        incarnation = Math.max(incarnation, higher);
    }

    @Override
    public Member current() {
        InForce inForce = installed.inForce();
        ServiceSpec spec = inForce.snapshot()
                .configuration()
                .services()
                .get(settings.backendServer().service());
        return new Member(
                settings.instance(),
                settings.backendServer().service(),
                address,
                settings.place(),
                settings.backendServer().labels(),
                state(),
                incarnation,
                spec == null ? DEFAULT_SLOTS : spec.slots(),
                inForce.snapshot().id().number(),
                inForce.sinceEpochMillis());
    }
}
