package org.berylwick.pgm;

import com.linecorp.armeria.client.UnprocessedRequestException;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import org.berylwick.lib.HostPort;

/** Tells why a call failed, and what to do next. */
final class Failures {
    /** What the gRPC library says of an answer that is plain HTTP, and so from no daemon's operators' service. */
    private static final String PLAIN_HTTP = "HTTP status code ";

    private Failures() {}

    /** Whether the call cannot have reached a daemon's service, or was refused by it unread. */
    static boolean nothingWasDone(StatusRuntimeException e) {
        return isUnprocessed(e)
                || switch (e.getStatus().getCode()) {
                    case UNAUTHENTICATED,
                            RESOURCE_EXHAUSTED,
                            FAILED_PRECONDITION,
                            INVALID_ARGUMENT,
                            NOT_FOUND,
                            UNIMPLEMENTED -> true;
                    default -> false;
                };
    }

    static ExitCode tell(StatusRuntimeException e, HostPort address, Terminal terminal) {
        if (isUnprocessed(e)) {
            terminal.tell(Message.NO_CONNECTION, address);
            return ExitCode.UNREACHABLE;
        }
        String detail = e.getStatus().getDescription();
        if (detail != null && detail.startsWith(PLAIN_HTTP)) {
            terminal.tell(Message.NOT_ADMIN, address);
            return ExitCode.UNREACHABLE;
        }
        return switch (e.getStatus().getCode()) {
            case UNAUTHENTICATED -> {
                terminal.tell(Message.UNAUTHENTICATED, detail);
                yield ExitCode.REFUSED;
            }
            case RESOURCE_EXHAUSTED -> {
                terminal.tell(Message.EXHAUSTED, detail);
                yield ExitCode.REFUSED;
            }
            case FAILED_PRECONDITION -> {
                terminal.tell(Message.REFUSED, detail);
                yield ExitCode.REFUSED;
            }
            case INVALID_ARGUMENT, NOT_FOUND -> {
                terminal.tell(Message.NOT_FOUND, detail);
                yield ExitCode.BAD_INPUT;
            }
            case UNAVAILABLE -> {
                terminal.tell(Message.STORE_UNAVAILABLE, detail);
                yield ExitCode.UNREACHABLE;
            }
            case UNIMPLEMENTED -> {
                terminal.tell(Message.NOT_ADMIN, address);
                yield ExitCode.UNREACHABLE;
            }
            default -> {
                terminal.tell(Message.NO_ANSWER, address, cause(e));
                yield ExitCode.UNREACHABLE;
            }
        };
    }

    /** The reason in one line: the service's own words, or else what broke the call. */
    static String cause(StatusRuntimeException e) {
        Status status = e.getStatus();
        if (status.getDescription() != null) {
            return status.getCode() + ": " + status.getDescription();
        }
        Throwable cause = status.getCause();
        return cause == null ? status.getCode().toString() : status.getCode() + ": " + cause;
    }

    private static boolean isUnprocessed(Throwable e) {
        for (Throwable t = e; t != null; t = t.getCause()) {
            if (t instanceof UnprocessedRequestException) {
                return true;
            }
        }
        return false;
    }
}
