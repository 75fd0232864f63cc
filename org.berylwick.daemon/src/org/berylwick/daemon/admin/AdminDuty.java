package org.berylwick.daemon.admin;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.StreamObserver;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.berylwick.internal.event.EventLog;
import org.berylwick.internal.event.OperatorEvent;
import org.berylwick.internal.kernel.Duty;
import org.berylwick.internal.kernel.Ring;

/** The thread that calls the store for operators, fed by a bounded ring. */
final class AdminDuty implements AutoCloseable {
    private static final EventLog EVENTS = new EventLog(AdminDuty.class);
    private static final int CAPACITY = 64;
    private static final long POLL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Ring<Runnable> ring = new Ring<>(CAPACITY);
    private final Meter overloaded;
    private final Duty duty;

    AdminDuty(MetricRegistry metrics) {
        overloaded = metrics.meter(AdminMetricNames.OVERLOADED);
        duty = new Duty(AdminService.NAME, () -> ring.poll(POLL_NANOS).ifPresent(Runnable::run));
    }

    /** Answers {@code observer} with what {@code work} makes, on the duty's thread. */
    <T> void answer(StreamObserver<T> observer, Supplier<T> work) {
        if (ring.offer(() -> run(observer, work)) == Ring.Offer.FULL) {
            overloaded.mark();
            observer.onError(Status.RESOURCE_EXHAUSTED
                    .withDescription("too many operators' calls wait for the store at this daemon; nothing was done")
                    .asRuntimeException());
        }
    }

    private static <T> void run(StreamObserver<T> observer, Supplier<T> work) {
        T reply;
        try {
            reply = work.get();
        } catch (StatusRuntimeException e) {
            observer.onError(e);
            return;
        } catch (RuntimeException e) {
            EVENTS.log(OperatorEvent.FAILED, e);
            observer.onError(Status.INTERNAL
                    .withDescription("the daemon failed; its log has event " + OperatorEvent.FAILED.number())
                    .asRuntimeException());
            return;
        }
        observer.onNext(reply);
        observer.onCompleted();
    }

    @Override
    public void close() {
        duty.close();
    }
}
