package org.wasabimount.core.interference;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.wasabimount.core.job.StepId;

/**
 * Learns which kinds of tasks run slower beside which others on one worker, from the progress that workers list.
 *
 * <p>Designed for tasks of unlike kinds that share workers and slow each other by amounts that nobody declares, beside
 * workers of unlike speed, workers that turn slow, tasks that take several times as long as usual, and declared times that
 * are wrong. None of these is taken for interference, because only paces are compared that differ by one kind beside the
 * task: of one run before and after that kind came or left, or of two tasks of one step on two workers, corrected by how
 * fast these workers usually are.
 *
 * <p>The state is bounded by the number of kinds and pairs, of which the ones with least evidence are given up, and by
 * what the workers run. It decays, and is lost with the leader.
 */
public final class InterferenceLearner {

    /** Maximum number of pairs of kinds with evidence. */
    static final int MAX_PAIRS = 256;

    /** Maximum number of steps of which recent paces are kept. */
    private static final int MAX_STEPS = 256;

    /** Number of recent paces kept of a step. */
    private static final int WINDOWS_PER_STEP = 4;

    /** Weight of comparisons from which a pair is learnt. */
    private static final double MIN_WEIGHT = 24;

    /** Weight below which a pair is forgotten. */
    private static final double MIN_KEPT_WEIGHT = 6;

    /** Least number of groups of workers in which a pair was seen. */
    private static final int MIN_GROUPS = 3;

    /** Slowdown from which a pair is learnt: what a placement weighs against best fit. */
    private static final double MIN_LOG_SLOWDOWN = Math.log(1.25);

    /** Slowdown below which a pair is forgotten. */
    private static final double MIN_KEPT_LOG_SLOWDOWN = Math.log(1.1);

    /** Difference of two tasks of one step beyond which one of them is odd, such as one with far more work. */
    private static final double MAX_LOG_DIFFERENCE = Math.log(3);

    /** Change of a run's pace beside the same kinds beyond which the worker's own speed has changed. */
    private static final double MAX_STEADY_LOG_CHANGE = 0.4;

    /** Interval at which pairs without new evidence are reviewed, in milliseconds: a twelfth of the half-life of one minute. */
    private static final long REVIEW_MILLIS = 5_000;

    private final KindNumbers numbers = new KindNumbers(this::forget);
    private final Map<Pair, PairEvidence> evidence = new HashMap<>();
    private final Map<Pair, Double> learnt = new HashMap<>();

    /** The slowdown of tasks of either kind beside the other, by both kinds. */
    private final Map<TaskKind, Map<TaskKind, Double>> slowdowns = new HashMap<>();

    private final Map<StepId, List<PaceWindow>> stepWindows = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<StepId, List<PaceWindow>> eldest) {
            return size() > MAX_STEPS;
        }
    };

    private final Consumer<LearntPair> learntListener;
    private final Consumer<LearntPair> forgottenListener;
    private int nextGroup;
    private int generation;
    private long reviewMillis = Long.MIN_VALUE;

    private record Pair(TaskKind slowed, TaskKind neighbour) {}

    /**
     * Creates an instance that has learnt nothing.
     *
     * @param learntListener receives each pair when it is learnt
     * @param forgottenListener receives each pair that was learnt when it is given up
     */
    public InterferenceLearner(Consumer<LearntPair> learntListener, Consumer<LearntPair> forgottenListener) {
        this.learntListener = learntListener;
        this.forgottenListener = forgottenListener;
    }

    /**
     * Creates the state of a worker.
     *
     * @return the state, to be passed with each list of the worker
     */
    public WorkerPaces newWorker() {
        return new WorkerPaces(nextGroup++ % PairEvidence.GROUPS);
    }

    /**
     * Receives a worker's list.
     *
     * @param worker the worker's state
     * @param running the runs that the worker has
     * @param ended the runs that have ended since the previous list; those that did their work have 100 percent
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public void listed(WorkerPaces worker, Collection<ListedRun> running, Collection<ListedRun> ended, long nowMillis) {
        review(nowMillis);
        KindSet now = kinds(KindSet.EMPTY, running);
        KindSet since = kinds(now, ended);
        // Only now, as a new kind may have taken over a number.
        boolean renumbered = worker.generation() != generation;
        worker.generation(generation);
        KindSet before = worker.listed();
        worker.listed(now);
        if (renumbered) {
            worker.runs().clear();
        }
        running.forEach(row -> {
            RunPace known = worker.runs().get(row.run());
            RunPace pace = known == null ? new RunPace(row, worker) : known;
            worker.runs().put(row.run(), pace);
            int number = numbers.of(row.kind());
            boolean unchanged = !renumbered && beside(before, number, known != null) == since.beside(number);
            if (known == null) {
                boolean startKnown = unchanged && row.startedMillis() >= 0;
                pace.begin(since.beside(number), startKnown ? row.startedMillis() : nowMillis, 0);
            }
            if (unchanged) {
                pace.extend(row, nowMillis);
            }
            if (!unchanged || pace.complete() || now.beside(number) != since.beside(number)) {
                take(pace, nowMillis);
                pace.begin(now.beside(number), nowMillis, row.percent());
            }
        });
        ended.forEach(row -> {
            RunPace known = worker.runs().remove(row.run());
            int number = numbers.of(row.kind());
            boolean unchanged = !renumbered && beside(before, number, known != null) == since.beside(number);
            RunPace pace = known == null ? new RunPace(row, worker) : known;
            if (known == null) {
                pace.begin(since.beside(number), row.startedMillis(), 0);
            }
            boolean measured = unchanged && (known != null || row.startedMillis() >= 0);
            if (measured && row.measure() == ListedRun.Measure.PROGRESS) {
                pace.extend(row, nowMillis);
            }
            take(pace, nowMillis);
        });
        if (worker.runs().size() > running.size()) {
            worker.runs()
                    .keySet()
                    .retainAll(running.stream().map(ListedRun::run).collect(Collectors.toSet()));
        }
    }

    private KindSet kinds(KindSet others, Collection<ListedRun> runs) {
        KindSet kinds = others;
        for (ListedRun row : runs) {
            kinds = kinds.with(numbers.of(row.kind()));
        }
        return kinds;
    }

    private static long beside(KindSet kinds, int number, boolean included) {
        return included ? kinds.beside(number) : kinds.present();
    }

    /** Compares what a run's window has measured with its previous one and with those of other tasks of its step. */
    private void take(RunPace pace, long nowMillis) {
        Optional<PaceWindow> taken = pace.take();
        if (taken.isEmpty()) {
            return;
        }
        PaceWindow window = taken.get();
        TaskKind kind = pace.first().kind();
        boolean progress = pace.first().measure() == ListedRun.Measure.PROGRESS;
        pace.previous().ifPresent(previous -> compareRun(kind, previous, window, progress, nowMillis));
        pace.previous(window);
        if (progress) {
            compareWithStep(kind, window, nowMillis);
        }
    }

    private void compareWithStep(TaskKind kind, PaceWindow window, long nowMillis) {
        List<PaceWindow> windows =
                stepWindows.computeIfAbsent(window.run().task().stepId(), absent -> new ArrayList<>());
        windows.stream()
                .filter(other -> !other.run().equals(window.run()))
                .toList()
                .forEach(other -> compareTasks(kind, other, window, nowMillis));
        windows.removeIf(other -> other.run().equals(window.run()));
        windows.add(window);
        if (windows.size() > WINDOWS_PER_STEP) {
            windows.remove(0);
        }
    }

    /**
     * Compares two paces of one run: a change of progress without a change beside it is the worker's own. The tail of
     * response times also changes with the load of the task itself.
     */
    private void compareRun(TaskKind kind, PaceWindow earlier, PaceWindow later, boolean progress, long nowMillis) {
        double change = later.logPace() - earlier.logPace();
        if (earlier.neighbours() == later.neighbours()) {
            if (progress && Math.abs(change) > MAX_STEADY_LOG_CHANGE) {
                later.worker().speedChanged(nowMillis);
            }
        } else if (later.worker().steady(nowMillis)) {
            addEvidence(kind, earlier, later, change, nowMillis);
        }
    }

    /** Compares two tasks of one step: beside the same kinds they tell how fast their workers usually are. */
    private void compareTasks(TaskKind kind, PaceWindow earlier, PaceWindow later, long nowMillis) {
        WorkerPaces one = earlier.worker();
        WorkerPaces other = later.worker();
        double change = later.logPace() - earlier.logPace() - (other.usualLogPace() - one.usualLogPace());
        if (Math.abs(change) > MAX_LOG_DIFFERENCE) {
            return;
        }
        if (earlier.neighbours() == later.neighbours()) {
            if (one != other) {
                other.compared(change);
                one.compared(-change);
            }
        } else if (one == other || one.usualPaceKnown() && other.usualPaceKnown()) {
            if (one.steady(nowMillis) && other.steady(nowMillis)) {
                addEvidence(kind, earlier, later, change, nowMillis);
            }
        }
    }

    private void addEvidence(TaskKind kind, PaceWindow earlier, PaceWindow later, double change, long nowMillis) {
        long difference = earlier.neighbours() ^ later.neighbours();
        if (Long.bitCount(difference) != 1) {
            return;
        }
        boolean came = (later.neighbours() & difference) != 0;
        Pair pair = new Pair(kind, numbers.kind(Long.numberOfTrailingZeros(difference)));
        PairEvidence known = evidence.get(pair);
        if (known == null) {
            evictWeakestPair();
            known = new PairEvidence(nowMillis);
            evidence.put(pair, known);
        }
        known.add((came ? later : earlier).worker().group(), came ? -change : change, nowMillis);
        decide(pair, known, nowMillis);
    }

    private void evictWeakestPair() {
        if (evidence.size() >= MAX_PAIRS) {
            evidence.entrySet().stream()
                    .min(Comparator.comparingDouble(pair -> pair.getValue().weight()))
                    .map(Map.Entry::getKey)
                    .ifPresent(this::remove);
        }
    }

    private void decide(Pair pair, PairEvidence known, long nowMillis) {
        double[] means = known.means();
        boolean seenWidely = means.length >= MIN_GROUPS;
        double logSlowdown = seenWidely ? means[means.length / 2] : 0;
        // Of many pairs without interference some median is high by chance; three of four groups are not.
        boolean evident = known.weight() >= MIN_WEIGHT && seenWidely && means[means.length / 4] >= MIN_LOG_SLOWDOWN;
        boolean wasLearnt = learnt.containsKey(pair);
        // Kinds that are kept apart give no new evidence, and the old fades group by group.
        boolean kept =
                wasLearnt && known.weight() >= MIN_KEPT_WEIGHT && (!seenWidely || logSlowdown >= MIN_KEPT_LOG_SLOWDOWN);
        if (evident || kept && seenWidely) {
            learnt.put(pair, Math.exp(logSlowdown));
            publish(pair);
        }
        if (evident && !wasLearnt) {
            learntListener.accept(describe(pair, known, nowMillis));
        } else if (wasLearnt && !evident && !kept) {
            forgottenListener.accept(describe(pair, known, nowMillis));
            learnt.remove(pair);
            publish(pair);
        }
    }

    private LearntPair describe(Pair pair, PairEvidence known, long nowMillis) {
        return new LearntPair(
                pair.slowed,
                pair.neighbour,
                learnt.get(pair),
                known.weight(),
                known.means().length,
                nowMillis - known.firstMillis(),
                nowMillis - known.latestMillis());
    }

    private void publish(Pair pair) {
        double slowdown = Math.max(
                learnt.getOrDefault(pair, 1.0), learnt.getOrDefault(new Pair(pair.neighbour, pair.slowed), 1.0));
        publish(pair.slowed, pair.neighbour, slowdown);
        publish(pair.neighbour, pair.slowed, slowdown);
    }

    private void publish(TaskKind kind, TaskKind other, double slowdown) {
        Map<TaskKind, Double> ofKind = slowdowns.computeIfAbsent(kind, absent -> new HashMap<>());
        if (slowdown > 1) {
            ofKind.put(other, slowdown);
        } else {
            ofKind.remove(other);
        }
        if (ofKind.isEmpty()) {
            slowdowns.remove(kind);
        }
    }

    private void review(long nowMillis) {
        if (nowMillis < reviewMillis) {
            return;
        }
        reviewMillis = nowMillis + REVIEW_MILLIS;
        List.copyOf(evidence.keySet()).forEach(pair -> {
            PairEvidence known = evidence.get(pair);
            known.decay(nowMillis);
            decide(pair, known, nowMillis);
            if (known.weight() < 1) {
                evidence.remove(pair);
            }
        });
    }

    private void remove(Pair pair) {
        PairEvidence known = evidence.remove(pair);
        if (learnt.containsKey(pair)) {
            forgottenListener.accept(describe(pair, known, known.latestMillis()));
            learnt.remove(pair);
            publish(pair);
        }
    }

    /** Forgets a kind whose number is given to another one, with all sets in which the number occurs. */
    private void forget(TaskKind kind) {
        generation++;
        stepWindows.clear();
        List.copyOf(evidence.keySet()).stream()
                .filter(pair -> pair.slowed.equals(kind) || pair.neighbour.equals(kind))
                .forEach(this::remove);
    }

    /**
     * Returns whether any pair was learnt.
     *
     * @return false if every worker is as good as any other for all kinds, as far as is known
     */
    public boolean knowsAny() {
        return !slowdowns.isEmpty();
    }

    /**
     * Returns whether tasks of a kind are known to be slowed beside others, or to slow them.
     *
     * @param kind the kind
     * @return false if every worker is as good as any other, as far as is known
     */
    public boolean knows(TaskKind kind) {
        return slowdowns.containsKey(kind);
    }

    /**
     * Returns by how much a task of a kind and those beside it would slow each other.
     *
     * @param kind the kind
     * @param neighbours the kinds beside it
     * @return the largest factor on the duration of any of them, at least 1.0
     */
    public double slowdown(TaskKind kind, Collection<TaskKind> neighbours) {
        Map<TaskKind, Double> known = slowdowns.get(kind);
        return known == null
                ? 1.0
                : neighbours.stream()
                        .mapToDouble(neighbour -> known.getOrDefault(neighbour, 1.0))
                        .max()
                        .orElse(1.0);
    }

    /** Returns the number of pairs with evidence. */
    int pairs() {
        return evidence.size();
    }
}
