package org.berylwick.bench.soak;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Optional;
import org.berylwick.bench.relay.Direction;
import org.berylwick.bench.relay.Relay;
import org.berylwick.bench.soak.FaultSchedule.Step;
import org.berylwick.standin.backend.AnswerFault;
import org.berylwick.standin.backend.BackendFaults;
import org.berylwick.standin.platform.PlatformFaults;

/** Brings about one fault of the schedule and ends it again. */
final class FaultRunner {
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration LINK_DELAY = Duration.ofMillis(150);
    private static final long SPOILT_EACH = 5;
    private static final long LOST_ANSWERS = 12;
    private static final long PAUSE_MILLIS = 1_000;

    private final SoakFleet fleet;
    private final SoakOperator operator;
    private final FaultLog log;
    private final SoakJudge judge;

    FaultRunner(SoakFleet fleet, SoakOperator operator, FaultLog log, SoakJudge judge) {
        this.fleet = fleet;
        this.operator = operator;
        this.log = log;
        this.judge = judge;
    }

    /** Runs one step to its end; blocks meanwhile. */
    void run(Step step) throws InterruptedException {
        FaultLog.Interval interval = log.begin(step.kind());
        try {
            strike(step, fleet.nodes().get(step.node()));
        } finally {
            interval.end();
        }
    }

    private void strike(Step step, SoakNode node) throws InterruptedException {
        switch (step.kind()) {
            case KILL, FREEZE, PLANNED_STOP, REPLACED_PROCESS, SERVER_FAILED, DRAINING -> strikeNodeAlone(step, node);
            case CUT, ONE_WAY_CUT, SILENT_CONNECTIONS, SLOW_LINK -> strikeLink(step, node);
            case SLOW_STORE, STORE_OUTAGE, LOST_ANSWERS, STALE_STORE -> strikeStore(step);
            case SHEDDING, SPOILT_ANSWERS, LYING_HEALTH -> strikeAnswers(step, node);
            case RACING_OPERATORS -> log.strike(step.kind(), operator.race(step.variant()));
            default -> throw new IllegalStateException("no such kind: " + step.kind());
        }
    }

    private void strikeNodeAlone(Step step, SoakNode node) throws InterruptedException {
        if (!node.take()) {
            return;
        }
        long lateBefore = fleet.ledger().lateStarts();
        try {
            strikeNode(step, node);
        } finally {
            node.release();
        }
        judge.countLateWork(step.kind(), node.name(), fleet.ledger().lateStarts() - lateBefore);
    }

    private void strikeNode(Step step, SoakNode node) throws InterruptedException {
        log.strike(step.kind(), 1);
        switch (step.kind()) {
            case KILL -> {
                fleet.daemon(node).process().destroyForcibly().waitFor();
                Thread.sleep(PAUSE_MILLIS);
                fleet.startDaemon(node);
            }
            case FREEZE -> {
                fleet.daemon(node).signal("STOP");
                Thread.sleep(step.length());
                fleet.daemon(node).signal("CONT");
            }
            case PLANNED_STOP -> stopAsPlanned(node);
            case REPLACED_PROCESS -> {
                fleet.daemon(node).process().destroyForcibly().waitFor();
                node.failBackend();
                Thread.sleep(PAUSE_MILLIS);
                node.restartBackend(true);
                fleet.startDaemon(node);
            }
            case SERVER_FAILED -> {
                node.failBackend();
                Thread.sleep(step.length());
                node.restartBackend(false);
            }
            case DRAINING -> {
                node.backend().faults().setDraining(true);
                Thread.sleep(step.length().plus(STOP_TIMEOUT.dividedBy(10)));
                node.backend().faults().setDraining(false);
            }
            default -> throw new IllegalStateException("not of a node: " + step.kind());
        }
    }

    private void stopAsPlanned(SoakNode node) throws InterruptedException {
        node.backend().faults().setLeaving(true);
        fleet.daemon(node).process().destroy();
        if (!fleet.awaitEnd(node, STOP_TIMEOUT)) {
            judge.countEndlessStop();
            fleet.daemon(node).process().destroyForcibly().waitFor();
        }
        node.backend().faults().setLeaving(false);
        fleet.startDaemon(node);
    }

    private void strikeLink(Step step, SoakNode node) throws InterruptedException {
        Relay relay = node.relays().get(step.variant() % node.relays().size());
        switch (step.kind()) {
            case CUT -> {
                relay.setRefusing(true);
                log.strike(step.kind(), relay.cut());
                Thread.sleep(step.length());
                relay.setRefusing(false);
            }
            case ONE_WAY_CUT -> {
                Direction way = step.variant() / 3 % 2 == 0 ? Direction.TO_TARGET : Direction.FROM_TARGET;
                log.strike(step.kind(), relay.silence(EnumSet.of(way)));
                Thread.sleep(step.length());
            }
            case SILENT_CONNECTIONS -> {
                log.strike(step.kind(), relay.freeze());
                Thread.sleep(step.length());
            }
            case SLOW_LINK -> {
                log.strike(step.kind(), 1);
                relay.setDelay(Direction.TO_TARGET, LINK_DELAY);
                relay.setDelay(Direction.FROM_TARGET, LINK_DELAY);
                Thread.sleep(step.length());
                relay.setDelay(Direction.TO_TARGET, Duration.ZERO);
                relay.setDelay(Direction.FROM_TARGET, Duration.ZERO);
            }
            default -> throw new IllegalStateException("not of a link: " + step.kind());
        }
    }

    private void strikeStore(Step step) throws InterruptedException {
        PlatformFaults faults = fleet.platform().faults();
        PlatformFaults.Struck before = faults.struck();
        switch (step.kind()) {
            case SLOW_STORE -> faults.slowDown(200, 1_500, step.length());
            case STORE_OUTAGE -> {
                if (step.variant() % 2 == 0) {
                    faults.startOutage(step.length());
                } else {
                    fleet.platform().refuseConnections(step.length());
                }
            }
            case LOST_ANSWERS -> {
                faults.loseAnswers(LOST_ANSWERS, step.variant() % 2 == 0);
                operator.race(step.variant());
            }
            case STALE_STORE -> {
                operator.applyOne();
                fleet.platform().serveStale(SoakOperator.HEAD_KEY, 2, step.length());
            }
            default -> throw new IllegalStateException("not of the store: " + step.kind());
        }
        Thread.sleep(step.length());
        faults.loseAnswers(0, false);
        PlatformFaults.Struck after = faults.struck();
        log.strike(
                step.kind(),
                switch (step.kind()) {
                    case SLOW_STORE -> after.slow() - before.slow();
                    case STORE_OUTAGE -> after.outage() - before.outage();
                    case LOST_ANSWERS -> after.lostAnswers() - before.lostAnswers();
                    default -> after.staleReads() - before.staleReads();
                });
    }

    private void strikeAnswers(Step step, SoakNode node) throws InterruptedException {
        BackendFaults faults = node.backend().faults();
        switch (step.kind()) {
            case SHEDDING -> {
                long before = fleet.ledger().totals().shed();
                faults.setShedding(true);
                Thread.sleep(step.length());
                faults.setShedding(false);
                log.strike(step.kind(), fleet.ledger().totals().shed() - before);
            }
            case SPOILT_ANSWERS -> {
                for (AnswerFault f : AnswerFault.values()) {
                    long before = faults.struck(f);
                    faults.spoilNext(f, SPOILT_EACH);
                    Thread.sleep(step.length().dividedBy(AnswerFault.values().length));
                    faults.spoilNext(f, 0);
                    log.strike(step.kind(), faults.struck(f) - before);
                }
            }
            case LYING_HEALTH -> {
                BackendFaults.Health[] lies = {
                    BackendFaults.Health.ILL, BackendFaults.Health.SILENT, BackendFaults.Health.WELL
                };
                log.strike(step.kind(), 1);
                faults.setHealth(lies[step.variant() % lies.length], Duration.ZERO);
                faults.setClaimedBusy(Optional.of(step.variant() % 2 == 0 ? 0 : Integer.MAX_VALUE));
                Thread.sleep(step.length());
                faults.setHealth(BackendFaults.Health.TRUE, Duration.ZERO);
                faults.setClaimedBusy(Optional.empty());
            }
            default -> throw new IllegalStateException("not of answers: " + step.kind());
        }
    }
}
