package org.wasabimount.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.RunId;
import org.wasabimount.core.job.TaskId;
import org.wasabimount.protocol.job.Announce;
import org.wasabimount.protocol.job.EndKind;
import org.wasabimount.protocol.job.WorkerLife;

/** Simulates one incarnation of a worker, with its own clock, lease, runs and list of run ends. */
final class SimulatedWorker {

    /** The slowest allowed rate of a worker's clock. */
    private static final double SLOWEST_RATE = 0.98;

    private static final long STOP_MILLIS = 150;

    /** How long a capacity may still be used after it has shrunk, from the contract: contact and one announcement. */
    private static final long SHRUNK_CAPACITY_MILLIS = 3_000 + 1_500;

    final String id;
    final long bornMillis;
    final String address;
    Capacity capacity;
    final double clockRate;
    final Map<RunId, ActiveRun> activeRuns = new LinkedHashMap<>();
    /** Number of ends that a list contains at most. */
    private static final int MAX_LISTED_ENDS = 500;

    final List<LeaseRenewalResult.RunEnd> ended = new ArrayList<>();
    private final List<EarlierCapacity> earlierCapacities = new ArrayList<>();
    private final Map<TaskId, Integer> highestEndedRun = new HashMap<>();
    private final SimulatedCell cell;
    private final long startedMillis;
    private long fence;
    private long leaseUntilMillis;
    private long nextEnd = 1;

    /** The last end before the latest expiry of the lease; the contract lets the leader disregard ends up to it. */
    private long lapsedUpTo;

    private long sequence;
    boolean crashed;
    boolean draining;
    boolean failsAllTasks;
    boolean stalled;
    String domain = "glasgow";
    String label = "a";
    String rack = "r1";

    /** Factor by which tasks that start here take longer than on other workers. */
    double slowdownFactor = 1;

    private long tickedMillis;

    private record EarlierCapacity(Capacity capacity, long untilMillis) {}

    /** The state of an active run. */
    static final class ActiveRun {
        long workStartedMillis;
        long endsMillis = Long.MAX_VALUE;
        long arrivedMillis;
        EndKind endKind = EndKind.DONE;
        boolean stopping;
        int pacePercent = 100;
    }

    SimulatedWorker(SimulatedCell cell, String id, long bornMillis, String address, Capacity capacity, boolean slow) {
        this.cell = cell;
        this.id = id;
        this.bornMillis = bornMillis;
        this.address = address;
        this.capacity = capacity;
        this.clockRate = slow ? SLOWEST_RATE : 1.0;
        this.startedMillis = cell.nowMillis();
    }

    /** Changes the capacity; the next announcement tells the leader. */
    void resize(Capacity changed) {
        earlierCapacities.add(new EarlierCapacity(capacity, cell.nowMillis() + SHRUNK_CAPACITY_MILLIS));
        capacity = changed;
    }

    /** Returns whether a load fits in the capacity, or in one that has changed too recently to be known. */
    boolean mayHold(Capacity load) {
        return load.fitsIn(capacity)
                || earlierCapacities.stream()
                        .anyMatch(earlier -> cell.nowMillis() < earlier.untilMillis && load.fitsIn(earlier.capacity));
    }

    void kill() {
        crashed = true;
    }

    long clockMillis() {
        return 1_000 + (long) ((cell.nowMillis() - startedMillis) * clockRate);
    }

    Announce announcement() {
        return Announce.newBuilder()
                .setLife(WorkerLife.newBuilder()
                        .setWorker(id)
                        .setBornMillis(bornMillis)
                        .setAddress(address)
                        .setDomain(domain)
                        .setPool("pool")
                        .addLabels(label)
                        .setRack(rack)
                        .setCapacity(capacity.toQuantity())
                        .setDraining(draining))
                .setClockMillis(clockMillis())
                .setSequence(++sequence)
                .build();
    }

    Capacity used() {
        return activeRuns.keySet().stream().map(run -> cell.size(run.task())).reduce(Capacity.NONE, Capacity::plus);
    }

    OrderOutcome start(DispatchAction.Start order) {
        if (order.fence() < fence) {
            return OrderOutcome.FENCED;
        }
        fence = order.fence();
        leaseUntilMillis = Math.max(leaseUntilMillis, order.leaseUntilMillis());
        TaskId task = order.run().task();
        if (activeRuns.containsKey(order.run())) {
            return OrderOutcome.DONE;
        }
        if (order.run().number() <= highestEndedRun.getOrDefault(task, 0)) {
            return OrderOutcome.SUPERSEDED;
        }
        if (clockMillis() >= order.leaseUntilMillis()) {
            return OrderOutcome.LATE;
        }
        if (cell.advised() && !cell.validTicket(order.ticket(), this)) {
            return OrderOutcome.NO_TICKET;
        }
        ActiveRun run = new ActiveRun();
        run.arrivedMillis = cell.nowMillis();
        activeRuns.put(order.run(), run);
        cell.started(order.run(), this);
        if (!cell.isGang(task)) {
            startWork(order.run());
        }
        return OrderOutcome.DONE;
    }

    /** Begins the work of a run: at once for a single task, and when all tasks have arrived for a gang. */
    void startWork(RunId id) {
        ActiveRun run = activeRuns.get(id);
        run.endKind = failsAllTasks || cell.failsOnEveryWorker(id.task()) ? EndKind.FAILED : EndKind.DONE;
        run.workStartedMillis = cell.nowMillis();
        long workMillis = (long) (slowdownFactor * cell.workMillis(id.task()));
        run.endsMillis = stalled ? Long.MAX_VALUE : cell.nowMillis() + workMillis;
    }

    /** Keeps the other tasks of a gang from completing after one has failed; those that fail, too, still do so. */
    void neverCompletes(RunId failed) {
        activeRuns.entrySet().stream()
                .filter(run -> run.getKey().task().stepId().equals(failed.task().stepId())
                        && run.getKey().number() == failed.number()
                        && run.getValue().endKind == EndKind.DONE)
                .forEach(run -> run.getValue().endsMillis = Long.MAX_VALUE - 1);
    }

    /** Resumes stalled tasks and restores normal speed for later ones. */
    void recover() {
        slowdownFactor = 1;
        stalled = false;
        activeRuns.entrySet().stream()
                .filter(run -> run.getValue().endsMillis == Long.MAX_VALUE
                        && !cell.isGang(run.getKey().task()))
                .forEach(run -> startWork(run.getKey()));
    }

    private int percent(ActiveRun run) {
        boolean inProgress = run.endsMillis != Long.MAX_VALUE && run.endsMillis > run.workStartedMillis;
        return inProgress
                ? (int) (100 * (cell.nowMillis() - run.workStartedMillis) / (run.endsMillis - run.workStartedMillis))
                : 0;
    }

    OrderOutcome stop(DispatchAction.Stop order) {
        if (order.fence() < fence) {
            return OrderOutcome.FENCED;
        }
        fence = order.fence();
        ActiveRun run = activeRuns.get(order.run());
        if (run == null) {
            highestEndedRun.merge(order.run().task(), order.run().number(), Math::max);
        } else if (!run.stopping) {
            run.stopping = true;
            run.endKind = EndKind.STOPPED;
            run.endsMillis = cell.nowMillis() + STOP_MILLIS;
        }
        return OrderOutcome.DONE;
    }

    OrderOutcome pace(DispatchAction.Pace order) {
        if (order.fence() < fence) {
            return OrderOutcome.FENCED;
        }
        fence = order.fence();
        if (!activeRuns.containsKey(order.run())) {
            return OrderOutcome.SUPERSEDED;
        }
        activeRuns.get(order.run()).pacePercent = order.percent();
        return OrderOutcome.DONE;
    }

    /** Delays the work of runs that others here slow down. */
    private void slowDown() {
        long elapsedMillis = cell.nowMillis() - tickedMillis;
        tickedMillis = cell.nowMillis();
        activeRuns.forEach((id, run) -> {
            double factor = activeRuns.keySet().stream()
                    .filter(other -> !other.equals(id))
                    .mapToDouble(other -> cell.slowdown.applyAsDouble(id.task(), other.task()))
                    .max()
                    .orElse(1);
            if (factor > 1 && !run.stopping && run.endsMillis < Long.MAX_VALUE / 2) {
                long delayMillis = Math.round(elapsedMillis * (1 - 1 / factor));
                run.workStartedMillis += delayMillis;
                run.endsMillis += delayMillis;
            }
        });
    }

    LeaseRenewalResult renewLease(DispatchAction.RenewLease order) {
        if (order.fence() < fence) {
            return LeaseRenewalResult.withoutList(OrderOutcome.FENCED);
        }
        fence = order.fence();
        leaseUntilMillis = Math.max(leaseUntilMillis, order.leaseUntilMillis());
        ended.stream()
                .filter(end -> end.offset() <= order.offset() && end.offset() > lapsedUpTo)
                .forEach(end -> cell.endAcknowledged(end, this));
        ended.removeIf(end -> end.offset() <= order.offset());
        return listRuns();
    }

    LeaseRenewalResult listRuns() {
        List<LeaseRenewalResult.RunProgress> running = activeRuns.entrySet().stream()
                .map(run -> new LeaseRenewalResult.RunProgress(
                        run.getKey(),
                        "",
                        percent(run.getValue()),
                        cell.load(run.getKey().task(), this)))
                .toList();
        return new LeaseRenewalResult(
                OrderOutcome.DONE,
                clockMillis(),
                bornMillis,
                running,
                ended.stream().limit(MAX_LISTED_ENDS).toList());
    }

    /** Ends the runs that are due, and all runs when the lease has expired. */
    void tick() {
        slowDown();
        if (clockMillis() >= leaseUntilMillis) {
            lapsedUpTo = nextEnd - 1;
            List.copyOf(activeRuns.keySet()).forEach(run -> end(run, EndKind.LAPSED));
        }
        for (RunId run : List.copyOf(activeRuns.keySet())) {
            ActiveRun state = activeRuns.get(run);
            if (state == null) {
                continue;
            }
            boolean gangTimedOut = cell.isGang(run.task())
                    && state.endsMillis == Long.MAX_VALUE
                    && !stalled
                    && cell.nowMillis() - state.arrivedMillis > SimulatedCell.GANG_MILLIS;
            if (gangTimedOut) {
                end(run, EndKind.ALONE);
            } else if (cell.nowMillis() >= state.endsMillis) {
                end(run, state.endKind);
            }
        }
    }

    void end(RunId run, EndKind endKind) {
        if (activeRuns.remove(run) == null) {
            return;
        }
        highestEndedRun.merge(run.task(), run.number(), Math::max);
        ended.add(new LeaseRenewalResult.RunEnd(nextEnd++, run, endKind, ""));
        cell.runEnded(run, endKind);
    }
}
