package org.wasabimount.core.job;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import org.wasabimount.protocol.job.SilentWorker;
import org.wasabimount.protocol.job.WorkerLife;

/**
 * The incarnations of workers whose leases expired while they were silent, with the runs that were lost with them.
 *
 * <p>Whether such a worker had crashed is known only later: when another incarnation responds in its place, or when it
 * responds itself and lists the runs as ended.
 */
final class SilentWorkers {

    private final Map<IncarnationId, Entry> entries = new LinkedHashMap<>();

    private record Entry(WorkerLife life, Set<RunId> runs) {}

    void add(WorkerLife life, RunId run) {
        entries.computeIfAbsent(IncarnationId.of(life), absent -> new Entry(life, new LinkedHashSet<>()))
                .runs
                .add(run);
    }

    /** Removes a run that its worker has listed as ended; returns false if it was not lost with that worker. */
    boolean remove(IncarnationId incarnation, RunId run) {
        Entry entry = entries.get(incarnation);
        boolean removed = entry != null && entry.runs.remove(run);
        if (removed && entry.runs.isEmpty()) {
            entries.remove(incarnation);
        }
        return removed;
    }

    /** Returns the silent incarnations in whose place a later one responds. */
    List<WorkerLife> replacedBy(WorkerLife later) {
        return entries.values().stream()
                .map(Entry::life)
                .filter(life -> life.getBornMillis() < later.getBornMillis()
                        && (life.getWorker().equals(later.getWorker())
                                || life.getAddress().equals(later.getAddress())))
                .toList();
    }

    /** Removes an incarnation; returns the runs that were lost with it. */
    List<RunId> take(IncarnationId incarnation) {
        Entry entry = entries.remove(incarnation);
        return entry == null ? List.of() : new ArrayList<>(entry.runs);
    }

    void forgetJob(String job) {
        entries.values()
                .forEach(entry -> entry.runs.removeIf(run -> run.task().job().equals(job)));
        entries.values().removeIf(entry -> entry.runs.isEmpty());
    }

    /** Returns all runs that were lost with silent incarnations. */
    Stream<RunId> runs() {
        return entries.values().stream().flatMap(entry -> entry.runs.stream());
    }

    List<SilentWorker> toMessages() {
        return entries.values().stream()
                .map(entry -> SilentWorker.newBuilder()
                        .setLife(entry.life)
                        .addAllRuns(
                                entry.runs.stream().map(run -> run.toKey("")).toList())
                        .build())
                .toList();
    }

    void restore(List<SilentWorker> messages) {
        messages.forEach(message -> message.getRunsList()
                .forEach(run -> add(message.getLife(), new RunId(TaskId.of(run.getTask()), run.getRun()))));
    }
}
