package org.berylwick.daemon.duty;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.ClientFactoryOptions;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpStatus;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.berylwick.daemon.call.SingleResponseCodec;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.ProcessEvent;
import org.berylwick.internal.kernel.Duty;
import org.berylwick.internal.kernel.KernelService;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Member;

/** Asks the own backend server whether it is ready or draining, and announces the answer. */
public final class BackendServerProbe implements KernelService {
    /** The name in the kernel. */
    public static final String NAME = "backend-server-probe";

    private static final EventLog EVENTS = new EventLog(BackendServerProbe.class);
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final long INTERVAL_MILLIS = 200;

    private static final int ANSWERS_ALIKE = 2;

    /** What the health endpoint said. */
    private enum Health {
        /** 200. */
        WELL,
        /** 503. */
        DRAINING,
        /** Anything else, or nothing. */
        SILENT
    }

    private final ClientFactory factory;
    private final WebClient client;
    private final InstalledVersion installed;
    private final SelfAnnouncement self;
    private Health last = Health.SILENT;
    private int alike;
    private boolean draining;
    /** The backend server has stated in a response that it leaves, and its replacement was not seen yet. */
    private volatile boolean leaveStated;
    /** The health endpoint was silent since then, so that a healthy one belongs to a replacement. */
    private boolean silentSinceLeave;

    private Duty duty;

    /** Probes {@code GET /health} at {@code address} from {@link #start()} on. */
    public BackendServerProbe(HostPort address, InstalledVersion installed, SelfAnnouncement self) {
        this.installed = installed;
        this.self = self;
        factory = ClientFactory.builder()
                .option(
                        ClientFactoryOptions.CHANNEL_PIPELINE_CUSTOMIZER,
                        pipeline -> pipeline.addFirst(SingleResponseCodec.Installer.withoutFramingCheck()))
                .build();
        client = WebClient.builder("h1c://" + address)
                .factory(factory)
                .responseTimeout(TIMEOUT)
                .build();
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        duty = new Duty(NAME, this::round);
    }

    /** The backend server has stated in a response that it is about to stop. May be called from any thread. */
    public void onLeaveStated() {
        if (!leaveStated) {
            leaveStated = true;
            self.setServerDraining(true);
            EVENTS.log(ProcessEvent.SERVER_DRAINING);
        }
    }

    private void round() throws InterruptedException {
        if (installed.snapshot().id().number() > 0) {
            take(ask());
        }
        TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
    }

    private void take(Health health) {
        alike = health == last ? alike + 1 : 1;
        last = health;
        if (health == Health.WELL && self.state() == Member.State.STARTING) {
            self.setState(Member.State.UP);
            EVENTS.log(ProcessEvent.SERVER_READY);
        }
        if (leaveStated) {
            awaitReplacement(health);
            return;
        }
        // One answer may be a slip; a server that really drains goes on saying so. Silence says nothing: whether the
        // server still works is seen by the calls themselves.
        if (alike < ANSWERS_ALIKE || health == Health.SILENT || draining == (health == Health.DRAINING)) {
            return;
        }
        if (health == Health.DRAINING && self.state() != Member.State.UP) {
            return;
        }
        draining = health == Health.DRAINING;
        self.setServerDraining(draining);
        EVENTS.log(draining ? ProcessEvent.SERVER_DRAINING : ProcessEvent.SERVER_BACK);
    }

    private void awaitReplacement(Health health) {
        silentSinceLeave |= health != Health.WELL;
        if (silentSinceLeave && health == Health.WELL && alike >= ANSWERS_ALIKE) {
            leaveStated = false;
            silentSinceLeave = false;
            draining = false;
            self.setServerDraining(false);
            EVENTS.log(ProcessEvent.SERVER_BACK);
        }
    }

    private Health ask() {
        try {
            HttpStatus status = client.get("/health").aggregate().join().status();
            if (status.equals(HttpStatus.SERVICE_UNAVAILABLE)) {
                return Health.DRAINING;
            }
            return status.equals(HttpStatus.OK) ? Health.WELL : Health.SILENT;
        } catch (CompletionException e) {
            return Health.SILENT;
        }
    }

    @Override
    public void close() {
        duty.close();
        factory.close();
    }
}
