package org.wasabimount.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.IncarnationId;
import org.wasabimount.core.job.JobTask;

/**
 * Chooses workers for the tasks of one step.
 *
 * <p>The load it answers: tasks from a fraction of a worker to a third of it, some in gangs, each step on its own part
 * of the workers. Single tasks go where they leave the least room, so that larger ones still find some; gangs go where
 * there is most. The tasks of a step keep to as few failure domains as they can: a job needs all of them, so each domain
 * more is one more whose loss delays it.
 */
final class Placer {

    private final Map<TrackedWorker, Capacity> rooms = new LinkedHashMap<>();

    Placer(List<TrackedWorker> usable) {
        usable.forEach(link -> rooms.put(link, link.room()));
    }

    /** Returns the room that is left on a worker after what was placed and reserved in this round. */
    Capacity room(TrackedWorker link) {
        return rooms.getOrDefault(link, Capacity.NONE);
    }

    /** Takes room on a worker, for a task or to keep it for a gang; reserved room may be owed and below zero. */
    void take(TrackedWorker link, Capacity size) {
        rooms.computeIfPresent(link, (key, room) -> room.minus(size));
    }

    /** Chooses workers for as many tasks as fit, or for all of a gang or none. */
    Map<JobTask, TrackedWorker> choose(ReadyStep step, Predicate<TrackedWorker> allowed) {
        List<TrackedWorker> candidates = rooms.keySet().stream()
                .filter(allowed)
                .filter(link -> step.size().fitsIn(room(link)))
                .toList();
        if (candidates.isEmpty()) {
            return Map.of();
        }
        return step.gang() ? together(step, candidates) : oneByOne(step, candidates);
    }

    private Map<JobTask, TrackedWorker> oneByOne(ReadyStep step, List<TrackedWorker> candidates) {
        Map<JobTask, TrackedWorker> chosen = new LinkedHashMap<>();
        Map<TrackedWorker, Integer> counts = countsOf(step);
        Set<String> domains = domainsOf(step);
        // Tasks that last serve one by one, and are better off apart.
        boolean together = !step.step().getLongRunning();
        Comparator<TrackedWorker> tightest = Comparator.<TrackedWorker, Boolean>comparing(link -> !nearData(step, link))
                .thenComparing(link -> together && !domains.isEmpty() && !domains.contains(link.domain()))
                .thenComparingDouble(link -> freeShare(link));
        for (JobTask task : step.waiting()) {
            Optional<TrackedWorker> best = candidates.stream()
                    .filter(link -> step.size().fitsIn(room(link)) && belowLimit(step, counts, link))
                    .min(tightest);
            if (best.isEmpty()) {
                break;
            }
            take(best.get(), step.size());
            counts.merge(best.get(), 1, Integer::sum);
            domains.add(best.get().domain());
            chosen.put(task, best.get());
        }
        return chosen;
    }

    /** Returns the failure domains in which tasks of the step run. */
    private Set<String> domainsOf(ReadyStep step) {
        Set<IncarnationId> lives = step
                .job()
                .tasks(step.id().occurrence(), step.id().step())
                .stream()
                .flatMap(task -> task.incarnation().stream())
                .collect(Collectors.toSet());
        return rooms.keySet().stream()
                .filter(link -> lives.contains(link.entry().id()))
                .map(TrackedWorker::domain)
                .collect(Collectors.toCollection(HashSet::new));
    }

    private Map<JobTask, TrackedWorker> together(ReadyStep step, List<TrackedWorker> candidates) {
        if (step.step().getColocated()) {
            Optional<Map<JobTask, TrackedWorker>> onOneRack =
                    candidates.stream().collect(Collectors.groupingBy(TrackedWorker::rack)).values().stream()
                            .map(rack -> allOn(step, rack))
                            .filter(chosen -> !chosen.isEmpty())
                            .findFirst();
            if (onOneRack.isPresent()) {
                onOneRack.get().values().forEach(link -> take(link, step.size()));
                return onOneRack.get();
            }
        }
        Map<JobTask, TrackedWorker> chosen = allOn(step, candidates);
        chosen.values().forEach(link -> take(link, step.size()));
        return chosen;
    }

    private Map<JobTask, TrackedWorker> allOn(ReadyStep step, List<TrackedWorker> candidates) {
        Map<TrackedWorker, Integer> counts = countsOf(step);
        List<TrackedWorker> roomiest = new ArrayList<>(candidates);
        roomiest.sort(Comparator.<TrackedWorker, Boolean>comparing(link -> !nearData(step, link))
                .thenComparing(Comparator.comparingDouble(this::freeShare).reversed()));
        Map<JobTask, TrackedWorker> chosen = new LinkedHashMap<>();
        int next = 0;
        for (TrackedWorker link : roomiest) {
            long fits = step.size().timesIn(room(link));
            while (fits > 0 && next < step.waiting().size() && belowLimit(step, counts, link)) {
                chosen.put(step.waiting().get(next++), link);
                counts.merge(link, 1, Integer::sum);
                fits--;
            }
        }
        return next == step.waiting().size() ? chosen : Map.of();
    }

    /** Chooses the workers on which room is kept for a gang: those that could take it soonest. */
    List<TrackedWorker> reserve(ReadyStep step, Predicate<TrackedWorker> allowed, long nowMillis) {
        Map<TrackedWorker, Integer> counts = countsOf(step);
        Map<TrackedWorker, Integer> wanted = new HashMap<>();
        List<TrackedWorker> candidates = rooms.keySet().stream()
                .filter(allowed)
                .filter(link -> step.size().fitsIn(link.entry().capacity()))
                .toList();
        List<TrackedWorker> targets = new ArrayList<>();
        for (int task = 0; task < step.waiting().size(); task++) {
            Optional<TrackedWorker> soonest = candidates.stream()
                    .filter(link -> belowLimit(step, counts, link))
                    .filter(link -> step.size()
                            .times(wanted.getOrDefault(link, 0) + 1L)
                            .fitsIn(link.entry().capacity()))
                    .min(Comparator.comparingLong(link ->
                            millisUntil(link, step.size().times(wanted.getOrDefault(link, 0) + 1L), nowMillis)));
            if (soonest.isEmpty()) {
                return List.of();
            }
            wanted.merge(soonest.get(), 1, Integer::sum);
            counts.merge(soonest.get(), 1, Integer::sum);
            targets.add(soonest.get());
        }
        return targets;
    }

    /** Returns when a worker has room beside what was taken in this round, at the earliest. */
    long millisUntil(TrackedWorker link, Capacity size, long nowMillis) {
        Capacity taken = link.room().minus(room(link));
        return link.millisUntilRoom(size.plus(taken), nowMillis);
    }

    private Map<TrackedWorker, Integer> countsOf(ReadyStep step) {
        Map<TrackedWorker, Integer> counts = new HashMap<>();
        if (step.step().getMaxPerWorker() > 0) {
            rooms.keySet()
                    .forEach(link -> counts.put(link, (int) link.runs().stream()
                            .filter(run -> run.id().task().stepId().equals(step.id()))
                            .count()));
        }
        return counts;
    }

    private static boolean belowLimit(ReadyStep step, Map<TrackedWorker, Integer> counts, TrackedWorker link) {
        int limit = step.step().getMaxPerWorker();
        return limit == 0 || counts.getOrDefault(link, 0) < limit;
    }

    private static boolean nearData(ReadyStep step, TrackedWorker link) {
        String rack = step.step().getDataRack();
        return rack.isEmpty() || link.rack().equals(rack);
    }

    private double freeShare(TrackedWorker link) {
        return room(link).dominantShare(link.entry().capacity());
    }
}
