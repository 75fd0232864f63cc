import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 3. An instance deregisters and gets its acknowledgement. All processes are killed, and the store turns away the
 * machine that acknowledged. Two heartbeats that the instance sent before it left arrive late. Exit code 1 if requests
 * reach the instance later than drainS after the acknowledgement, taken by machines that are in touch again (rule
 * DRAIN). Argument: the record file.
 */
final class Leave {
    private static final long DRAIN_MILLIS = 2_000;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long HEARTBEAT_MILLIS = 1_500;
    /** How late the last two heartbeats before the leave arrive. */
    private static final long LATE_MILLIS = 4_000;
    private static final long TURNED_AWAY_MILLIS = 9_000;
    /** How long the instance serves on after the acknowledgement. */
    private static final long STAY_MILLIS = 10_000;
    private static final int WORK_MILLIS = 220;
    /** Requesters on each machine; together they keep the two other instances busy. */
    private static final int REQUESTERS = 20;

    private final Kit kit;
    private final AtomicInteger nextId = new AtomicInteger();
    private final ConcurrentLinkedQueue<String> late = new ConcurrentLinkedQueue<>();
    private final Map<String, AtomicInteger> results = new ConcurrentHashMap<>();
    private final Map<String, Integer> entryOf = new ConcurrentHashMap<>();
    private volatile long acknowledgedAt = Long.MAX_VALUE;
    private volatile long inTouchAt = Long.MAX_VALUE;
    private volatile boolean over;

    private Leave(Kit kit) {
        this.kit = kit;
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        try (Kit kit = new Kit(Path.of(args[0]))) {
            status = new Leave(kit).play(trouble);
        } catch (IOException | IllegalStateException e) {
            System.out.println("cannot run: " + e);
        }
        System.exit(status);
    }

    private int play(boolean trouble) throws Exception {
        kit.store.put("config", "main", Kit.configuration(1, Kit.service("bookings"),
                Kit.route("confirm", "unsafe", "bookings", 2.5, 2), 67_108_864));
        byte[] receipt = new byte[1_500];
        Kit.Behaviour behaviour = (instance, socket, in, request) -> {
            request.readBody(in);
            onArrival(instance, request);
            Kit.pause(WORK_MILLIS);
            Kit.answer(socket, request, receipt);
            return true;
        };
        for (int i = 0; i < 3; i++) {
            kit.machine("bookings", 12, behaviour);
        }
        kit.awaitReady();
        List<Thread> requesters = new ArrayList<>();
        for (Kit.Node node : kit.nodes) {
            for (int i = 0; i < REQUESTERS; i++) {
                requesters.add(Thread.ofPlatform().start(() -> requester(node)));
            }
        }
        Kit.pause(2_000);
        leave(kit.instances.get(0));
        if (acknowledgedAt == Long.MAX_VALUE) {
            over = true;
            kit.note("the leave was not acknowledged");
            return 2;
        }
        if (trouble) {
            Kit.pause(200);
            kit.store.turnAway(0, true);
            kit.note("the store turns machine 0 away; all processes are killed");
            kit.nodes.forEach(Kit.Node::kill);
            for (Kit.Node node : kit.nodes) {
                node.process.waitFor();
            }
            Kit.pause(500);
            for (Kit.Node node : kit.nodes) {
                node.start();
            }
            inTouchAt = System.nanoTime() + CONTACT_MILLIS * 1_000_000;
            long until = System.nanoTime() + (TURNED_AWAY_MILLIS - 700) * 1_000_000;
            Kit.pause((until - System.nanoTime()) / 1_000_000);
            kit.store.turnAway(0, false);
            kit.note("the store serves machine 0 again");
        } else {
            inTouchAt = acknowledgedAt;
        }
        Kit.pause(STAY_MILLIS - (System.nanoTime() - acknowledgedAt) / 1_000_000);
        over = true;
        for (Thread requester : requesters) {
            requester.join();
        }
        late.forEach(kit::note);
        results.forEach((result, count) -> kit.note("result: " + result + ": " + count));
        kit.note(late.size() + " requests reached the instance later than " + DRAIN_MILLIS
                + " ms after the acknowledgement, taken by machines in touch");
        return results.keySet().stream().noneMatch(r -> r.contains("200")) ? 2 : late.isEmpty() ? 0 : 1;
    }

    /** The instance deregisters, and serves on; its last two heartbeats before that are held up on their way. */
    private void leave(Kit.Instance leaving) {
        leaving.beating = false;
        Kit.pause(HEARTBEAT_MILLIS);
        int first = leaving.seq + 1;
        for (int i = 0; i < 2; i++) {
            int sequence = first + i;
            long arrivesAt = System.nanoTime() + LATE_MILLIS * 1_000_000;
            kit.note("heartbeat " + sequence + " (ready) leaves the instance");
            Thread.ofPlatform().daemon().start(() -> {
                Kit.pause((arrivesAt - System.nanoTime()) / 1_000_000);
                int status = leaving.put("ready", sequence);
                kit.note("heartbeat " + sequence + " (ready) arrives " + LATE_MILLIS + " ms late, answered " + status);
            });
            Kit.pause(i == 0 ? HEARTBEAT_MILLIS : 100);
        }
        leaving.state = "draining";
        int status = leaving.delete();
        if (status / 100 == 2) {
            acknowledgedAt = System.nanoTime();
        }
        kit.note("DELETE /instances/" + leaving.id + ": " + status);
    }

    private void onArrival(Kit.Instance instance, Kit.Request request) {
        long now = System.nanoTime();
        if (instance.number != 0 || acknowledgedAt == Long.MAX_VALUE) {
            return;
        }
        long since = (now - acknowledgedAt) / 1_000_000;
        if (since > DRAIN_MILLIS) {
            // Judged are those that the machines took which the store serves; the last machine is bound in any case.
            boolean inTouch = now >= inTouchAt && entryOf.get(request.id()) != 0;
            String line = request.id() + " reaches the instance " + since + " ms after the acknowledgement, taken by machine "
                    + entryOf.get(request.id());
            if (inTouch) {
                late.add("DRAIN: " + line);
            } else {
                kit.note("(not judged) " + line);
            }
        }
    }

    private void requester(Kit.Node node) {
        Kit.Caller caller = null;
        while (!over) {
            try {
                if (caller == null) {
                    caller = new Kit.Caller(node);
                }
                String id = "q" + nextId.incrementAndGet();
                entryOf.put(id, node.number);
                Kit.Answer answer = caller.call("POST", "/confirm/x", id, 3_000, new byte[1_200]);
                results.computeIfAbsent(answer.status + " " + answer.broken, r -> new AtomicInteger()).incrementAndGet();
                if (answer.status == 0) {
                    caller.close();
                    caller = null;
                }
                Kit.pause(answer.status == 503 ? 300 : 80);
            } catch (IOException e) {
                caller = null;
                Kit.pause(200);
            }
        }
    }
}
