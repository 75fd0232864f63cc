package org.berylwick.daemon.duty;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.berylwick.errors.VersionError;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.StoreEvent;
import org.berylwick.internal.event.VersionEvent;
import org.berylwick.internal.kernel.Duty;
import org.berylwick.internal.kernel.KernelService;
import org.berylwick.internal.version.InstalledVersion;
import org.berylwick.internal.version.InstalledVersion.Install;
import org.berylwick.internal.version.VersionContent;
import org.berylwick.internal.version.VersionRepository;
import org.berylwick.internal.version.VersionRepository.AcceptedHead;
import org.berylwick.internal.version.VersionRepository.Watched;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.Result;
import org.berylwick.lib.TimeSource;
import org.berylwick.lib.VersionId;

/** Follows the store's head and installs each accepted version: the baseline way in which versions spread. */
public final class VersionWatch implements KernelService {
    /** The name in the kernel. */
    public static final String NAME = "version-watch";

    private static final EventLog EVENTS = new EventLog(VersionWatch.class);
    private static final long WATCH_MILLIS = 10_000;
    private static final long READ_MILLIS = 5_000;
    private static final long PAUSE_MILLIS = 500;

    private final VersionRepository repository;
    private final InstalledVersion installed;
    private final TimeSource time;
    private Optional<Long> revision = Optional.empty();
    private Duty duty;

    /** A watch that begins with {@link #start()}. */
    public VersionWatch(VersionRepository repository, InstalledVersion installed, TimeSource time) {
        this.repository = repository;
        this.installed = installed;
        this.time = time;
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
        VersionId before = installed.snapshot().id();
        Result<Optional<AcceptedHead>, VersionError> seen = revision.isEmpty() ? readFirst() : watch(revision.get());
        switch (seen) {
            case Result.Err<Optional<AcceptedHead>, VersionError>(VersionError error) -> {
                EVENTS.log(StoreEvent.HEAD_LOST, error);
                revision = Optional.empty();
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
            case Result.Ok<Optional<AcceptedHead>, VersionError>(Optional<AcceptedHead> head) -> {
                if (head.isPresent() && installed.noteHead(before, head.get().id())) {
                    install(head.get());
                }
            }
        }
    }

    private Result<Optional<AcceptedHead>, VersionError> readFirst() {
        return repository.readHead(Deadline.afterMillis(time, READ_MILLIS)).map(head -> {
            revision = Optional.of(head.headVersion());
            return Optional.of(head);
        });
    }

    private Result<Optional<AcceptedHead>, VersionError> watch(long after) {
        return repository
                .watchHead(after, Deadline.afterMillis(time, WATCH_MILLIS))
                .map(this::advance);
    }

    private Optional<AcceptedHead> advance(Watched watched) {
        revision = Optional.of(watched.revision());
        return watched.head();
    }

    private void install(AcceptedHead head) throws InterruptedException {
        if (!head.id().isNewerThan(installed.snapshot().id())) {
            return;
        }
        Deadline deadline = Deadline.afterMillis(time, READ_MILLIS);
        switch (repository.read(head.id(), installed.inForce().parts(), deadline)) {
            case Result.Ok<VersionContent, VersionError>(VersionContent content) -> {
                Install outcome = installed.install(content);
                EVENTS.log(VersionEvent.INSTALL, head.id(), outcome);
                if (outcome instanceof Install.Unproven) {
                    revision = Optional.empty();
                    TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
                }
            }
            case Result.Err<VersionContent, VersionError>(VersionError error) -> {
                EVENTS.log(VersionEvent.UNREADABLE, head.id(), error);
                revision = Optional.empty();
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
        }
    }

    @Override
    public void close() {
        duty.close();
    }
}
