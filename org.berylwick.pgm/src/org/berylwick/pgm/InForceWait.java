package org.berylwick.pgm;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.berylwick.lib.Deadline;
import org.berylwick.lib.TimeSource;
import org.berylwick.proto.AdminGrpc.AdminBlockingStub;
import org.berylwick.proto.DaemonStatus;
import org.berylwick.proto.GetStatusReply;
import org.berylwick.proto.GetStatusRequest;

/** Asks again and again until a version is in force on every daemon, and tells the progress. */
final class InForceWait {
    private static final long PAUSE_MILLIS = 200;
    private static final int NAMED = 5;

    private final AdminBlockingStub admin;
    private final Terminal terminal;
    private final TimeSource time = TimeSource.SYSTEM;
    private String lastLine = "";

    InForceWait(AdminBlockingStub admin, Terminal terminal) {
        this.admin = admin;
        this.terminal = terminal;
    }

    ExitCode await(long version, Duration timeout) {
        Deadline deadline = Deadline.afterMillis(time, timeout.toMillis());
        while (true) {
            List<DaemonStatus> lagging = round(version);
            if (lagging.isEmpty()) {
                return ExitCode.OK;
            }
            if (deadline.isPast(time) || !pause()) {
                terminal.tell(Message.STILL_LAGGING, version, names(lagging));
                return ExitCode.LAGGING;
            }
        }
    }

    private List<DaemonStatus> round(long version) {
        GetStatusReply status = admin.getStatus(GetStatusRequest.getDefaultInstance());
        List<DaemonStatus> present = status.getDaemonsList().stream()
                .filter(d -> !d.getState().equals("GONE"))
                .toList();
        List<DaemonStatus> lagging =
                present.stream().filter(d -> d.getVersion() < version).toList();
        tellProgress(version, present.size(), lagging);
        return lagging;
    }

    private void tellProgress(long version, int present, List<DaemonStatus> lagging) {
        String line = lagging.isEmpty()
                ? Messages.text(Message.IN_FORCE, version, present)
                : Messages.text(Message.WAITING, version, present - lagging.size(), present, names(lagging));
        if (!line.equals(lastLine)) {
            terminal.err().println(line);
            lastLine = line;
        }
    }

    private static String names(List<DaemonStatus> daemons) {
        String names = String.join(
                ", ",
                daemons.stream()
                        .limit(NAMED)
                        .map(d -> d.getInstance() + " (" + d.getVersion() + ", " + d.getState() + ")")
                        .toList());
        return daemons.size() > NAMED ? names + ", ..." : names;
    }

    private static boolean pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
