package org.wasabimount.core.dispatch;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.wasabimount.core.job.IncarnationId;
import org.wasabimount.protocol.job.WorkerLife;

/**
 * The workers that have recently fallen silent, with the jobs whose runs were on them.
 *
 * <p>A task crashes only its own worker. Workers without a common job that fall silent together have another cause, such
 * as a rack without power or a cut network, and say nothing about the tasks on them.
 */
final class SilenceLog {

    private static final System.Logger LOG = System.getLogger("wasabimount.worker");

    /** Longest time between noticing two crashes of one moment, in milliseconds: a list takes 1.3 s, a call before it as long. */
    private static final long TOGETHER_MILLIS = 2_000;

    /** How long a silence is remembered, in milliseconds; workers that stay away longer are rarely replaced. */
    private static final long REMEMBERED_MILLIS = 60_000;

    private final Map<IncarnationId, Silence> silences = new LinkedHashMap<>();

    private record Silence(WorkerLife life, long atMillis, Set<String> jobs, boolean isolated) {}

    /** Records that a worker has fallen silent, unless an earlier call to it is unanswered, too. */
    void callUnanswered(TrackedWorker worker, String call, OrderOutcome result, long nowMillis) {
        if (worker.unansweredCalls() == 0) {
            record(worker, nowMillis);
            LOG.log(
                    System.Logger.Level.INFO,
                    "WORKER lost worker={0} call={1} answer={2}",
                    worker.entry().id(),
                    call,
                    result);
        }
    }

    private void record(TrackedWorker worker, long nowMillis) {
        silences.values().removeIf(silence -> nowMillis - silence.atMillis > REMEMBERED_MILLIS);
        Set<String> jobs =
                worker.runs().stream().map(run -> run.id().task().job()).collect(Collectors.toCollection(HashSet::new));
        silences.put(
                worker.entry().id(), new Silence(worker.entry().incarnation(), nowMillis, jobs, worker.isolated()));
    }

    /** Forgets the silence of a worker that responds again. */
    void remove(IncarnationId incarnation) {
        silences.remove(incarnation);
    }

    /**
     * Returns whether a worker without a common job fell silent together with an incarnation, or may have: an earlier
     * leader did not pass on what it saw. Workers of isolated tasks do not count; they are expected to crash.
     */
    boolean othersSilentWith(IncarnationId incarnation) {
        Silence own = silences.get(incarnation);
        return own == null
                || silences.values().stream()
                        .anyMatch(other -> Math.abs(other.atMillis - own.atMillis) <= TOGETHER_MILLIS
                                && !other.isolated
                                && other.jobs.stream().noneMatch(own.jobs::contains));
    }

    /** As {@link #othersSilentWith}, for the incarnations that a later one replaces. */
    boolean othersSilentWithEarlier(WorkerLife later) {
        Set<IncarnationId> earlier = silences.values().stream()
                .map(Silence::life)
                .filter(life -> life.getWorker().equals(later.getWorker())
                        || life.getAddress().equals(later.getAddress()))
                .map(IncarnationId::of)
                .collect(Collectors.toSet());
        return earlier.isEmpty() || earlier.stream().anyMatch(this::othersSilentWith);
    }
}
