package org.berylwick.pgm;

import java.time.Duration;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import org.berylwick.proto.AdminGrpc.AdminBlockingStub;
import org.berylwick.proto.DaemonStatus;
import org.berylwick.proto.GetStatusReply;
import org.berylwick.proto.GetStatusRequest;

/** Tells which version is in force on which daemon. */
final class Status implements Command {
    @Override
    public String name() {
        return "status";
    }

    @Override
    public Message help() {
        return Message.STATUS_HELP;
    }

    @Override
    public Message examples() {
        return Message.STATUS_EXAMPLES;
    }

    @Override
    public void declare(Options options) {
        options.add(Message.OPTION_WATCH, "--watch", "-w").action(Arguments.storeTrue());
        options.add(Message.OPTION_INTERVAL, "--interval").metavar("TIME").setDefault("2s");
        options.add(Message.OPTION_ROUNDS, "--rounds")
                .metavar("N")
                .type(Integer.class)
                .setDefault(Integer.MAX_VALUE);
        AdminConnection.declare(options);
    }

    @Override
    public ExitCode run(Namespace options, Terminal terminal) {
        AdminBlockingStub admin = AdminConnection.open(options, terminal);
        boolean watch = options.getBoolean("watch");
        Duration interval = Times.duration("--interval", options.getString("interval"));
        int rounds = watch ? options.getInt("rounds") : 1;
        for (int round = 0; round < rounds; round++) {
            if (round > 0 && !pause(interval)) {
                return ExitCode.OK;
            }
            GetStatusReply status = admin.getStatus(GetStatusRequest.getDefaultInstance());
            if (watch) {
                terminal.clear();
            }
            print(status, options, terminal);
        }
        return ExitCode.OK;
    }

    private static boolean pause(Duration interval) {
        try {
            Thread.sleep(interval);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static void print(GetStatusReply status, Namespace options, Terminal terminal) {
        if (Output.isJson(options)) {
            Output.json(terminal, status);
            return;
        }
        terminal.print(Messages.text(Message.NEWEST_VERSION, status.getNewestVersion()));
        Table table = new Table("INSTANCE", "ZONE", "STATE", "IN FORCE SINCE", "LAGS SINCE", "VERSION");
        for (DaemonStatus d : status.getDaemonsList()) {
            table.add(
                    d.getInstance(),
                    d.getAvailabilityZone(),
                    d.getState(),
                    Times.utc(d.getInstalledAtEpochMs()),
                    Times.utc(d.getLaggingSinceEpochMs()),
                    d.getVersion());
        }
        table.print(terminal);
    }
}
