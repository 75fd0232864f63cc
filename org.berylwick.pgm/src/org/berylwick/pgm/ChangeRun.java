package org.berylwick.pgm;

import io.grpc.StatusRuntimeException;
import java.util.List;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;
import org.berylwick.proto.AdminGrpc.AdminBlockingStub;
import org.berylwick.proto.ApplyReply;
import org.berylwick.proto.Change;

/** Asks for a change, prints what became of it, and waits for it if that is wanted. */
final class ChangeRun {
    private final Namespace options;
    private final ChangeOptions change;
    private final Terminal terminal;
    private final Message rejected;

    /**
     * A run of one command.
     *
     * @param rejected what to do after faults were listed
     */
    ChangeRun(Namespace options, ChangeOptions change, Terminal terminal, Message rejected) {
        this.options = options;
        this.change = change;
        this.terminal = terminal;
        this.rejected = rejected;
    }

    ExitCode run(Function<AdminBlockingStub, ApplyReply> call) {
        AdminBlockingStub admin = AdminConnection.open(options, terminal);
        ApplyReply reply;
        try {
            reply = call.apply(admin);
        } catch (StatusRuntimeException e) {
            if (change.dryRun() || Failures.nothingWasDone(e)) {
                throw e;
            }
            terminal.tell(Message.UNDECIDED, Failures.cause(e), change.operationId());
            return ExitCode.UNDECIDED;
        }
        if (Output.isJson(options)) {
            Output.json(terminal, reply);
        } else {
            printChanges(reply.getChangesList());
        }
        ExitCode code = tell(reply);
        boolean accepted = reply.hasAccepted() || reply.hasUnchanged();
        if (code != ExitCode.OK || !change.await() || !accepted) {
            return code;
        }
        long version = reply.hasAccepted()
                ? reply.getAccepted().getVersion()
                : reply.getUnchanged().getCurrentVersion();
        return new InForceWait(admin, terminal).await(version, change.timeout());
    }

    private void printChanges(List<Change> changes) {
        if (!changes.isEmpty()) {
            ChangeTable.of(changes).print(terminal);
        }
    }

    private ExitCode tell(ApplyReply reply) {
        return switch (reply.getResultCase()) {
            case ACCEPTED -> {
                Message message =
                        reply.getAccepted().getRepeatedOperation() ? Message.ACCEPTED_BEFORE : Message.ACCEPTED;
                say(message, reply.getAccepted().getVersion(), change.operationId());
                yield ExitCode.OK;
            }
            case DRY_RUN -> {
                say(Message.DRY_RUN, reply.getDryRun().getBaseVersion());
                yield ExitCode.OK;
            }
            case UNCHANGED -> {
                say(Message.UNCHANGED, reply.getUnchanged().getCurrentVersion());
                yield ExitCode.OK;
            }
            case REJECTED -> {
                reply.getRejected().getFaultsList().forEach(f -> terminal.err().println(Faults.line(f)));
                terminal.tell(rejected);
                yield ExitCode.BAD_INPUT;
            }
            case CONFLICT -> {
                terminal.tell(
                        Message.CONFLICT,
                        reply.getConflict().getCurrentVersion(),
                        String.join(", ", reply.getConflict().getObjectsList()));
                yield ExitCode.CONFLICT;
            }
            case UNDECIDED -> {
                terminal.tell(
                        Message.UNDECIDED,
                        reply.getUndecided().getDetail(),
                        reply.getUndecided().getOperationId());
                yield ExitCode.UNDECIDED;
            }
            case UNAVAILABLE -> {
                terminal.tell(Message.STORE_UNAVAILABLE, reply.getUnavailable().getDetail());
                yield ExitCode.UNREACHABLE;
            }
            case RESULT_NOT_SET -> {
                terminal.tell(Message.NOT_UNDERSTOOD, change.operationId());
                yield ExitCode.UNDECIDED;
            }
        };
    }

    /** What became of it is a result for people; for programs the JSON says it. */
    private void say(Message message, Object... values) {
        if (!Output.isJson(options)) {
            terminal.print(Messages.text(message, values));
        }
    }
}
