package org.berylwick.daemon.duty;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpStatus;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.ProcessEvent;
import org.berylwick.internal.kernel.Duty;
import org.berylwick.internal.kernel.KernelService;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.lib.HostPort;
import org.berylwick.lib.Member;

/** Asks the own backend server whether it is ready, and announces the answer. */
public final class BackendServerProbe implements KernelService {
    /** The name in the kernel. */
    public static final String NAME = "backend-server-probe";

    private static final EventLog EVENTS = new EventLog(BackendServerProbe.class);
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final long INTERVAL_MILLIS = 200;

    private final WebClient client;
    private final InstalledVersion installed;
    private final SelfAnnouncement self;
    private Duty duty;

    /** Probes {@code GET /health} at {@code address} from {@link #start()} on. */
    public BackendServerProbe(HostPort address, InstalledVersion installed, SelfAnnouncement self) {
        this.installed = installed;
        this.self = self;
        client = WebClient.builder("h1c://" + address).responseTimeout(TIMEOUT).build();
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public void start() {
        duty = new Duty(NAME, this::round);
    }

    private void round() throws InterruptedException {
        if (self.state() == Member.State.STARTING && isReady()) {
            self.setState(Member.State.UP);
            EVENTS.log(ProcessEvent.SERVER_READY);
        }
        TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
    }

    private boolean isReady() {
        if (installed.snapshot().id().number() == 0) {
            return false;
        }
        try {
            return client.get("/health").aggregate().join().status().equals(HttpStatus.OK);
        } catch (CompletionException e) {
            return false;
        }
    }

    @Override
    public void close() {
        duty.close();
    }
}
