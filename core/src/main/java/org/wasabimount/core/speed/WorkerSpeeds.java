package org.wasabimount.core.speed;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learns how fast workers are, each compared with the others.
 *
 * <p>Designed for pools whose workers differ by a factor of up to three, and for tasks whose declared times are wrong by as
 * much or more: the pace of a run is compared only with those of runs of the same step on other workers, since a step's
 * tasks share the error of its declaration. Each run counts once, so that a few tasks that take several times as long as
 * the others of their step change little. What was learnt of a worker decays, and a worker without a history has the speed
 * of its kind. Equal workers keep about the same speed.
 *
 * <p>The state is bounded; what was used longest ago is forgotten first. Not thread-safe.
 */
public final class WorkerSpeeds {

    /** The speed of an average worker, and of a worker of which nothing is known. */
    public static final double USUAL = 1.0;

    /** Largest factor between a worker's speed and the usual one; larger differences are faults, not kinds of workers. */
    private static final double MAX_FACTOR = 3;

    /** Largest factor between the pace of one run and the usual one of its step that is counted. */
    private static final double MAX_SAMPLE_FACTOR = 2;

    /** Time in which the weight of what was learnt is halved, in milliseconds; machines seldom change their speed. */
    private static final double HALF_LIFE_MILLIS = 60_000;

    /** Weight of the assumption that a worker is like its kind, in runs; the spread of three runs is that of kinds. */
    private static final double KIND_RUNS = 3;

    /** As {@link #KIND_RUNS}, of the assumption that a kind is like all others. */
    private static final double USUAL_RUNS = 10;

    /** Maximum number of runs that count at their full weight, so that a change shows after as many. */
    private static final double MAX_RUNS = 30;

    private static final int MAX_WORKERS = 4_096;
    private static final int MAX_KINDS = 64;
    private static final int MAX_STEPS = 1_024;
    private static final int MAX_REMEMBERED_RUNS = 8_192;

    private final Map<String, Estimate> workers = bounded(MAX_WORKERS);
    private final Map<String, Estimate> kinds = bounded(MAX_KINDS);
    private final Map<String, StepPace> steps = bounded(MAX_STEPS);
    private final Map<String, Boolean> countedRuns = bounded(MAX_REMEMBERED_RUNS);

    /** A decaying mean of logarithms of speeds. */
    private static final class Estimate {
        private double sum;
        private double weight;
        private long updatedMillis;

        private void decay(long nowMillis) {
            double factor = Math.pow(0.5, Math.max(0, nowMillis - updatedMillis) / HALF_LIFE_MILLIS);
            factor *= weight > MAX_RUNS ? MAX_RUNS / weight : 1;
            sum *= factor;
            weight *= factor;
            updatedMillis = nowMillis;
        }

        private void add(double logSpeed, long nowMillis) {
            decay(nowMillis);
            sum += logSpeed;
            weight++;
        }

        /** Returns the mean together with an assumption that has a weight of its own. */
        private double mean(double assumed, double assumedWeight, long nowMillis) {
            decay(nowMillis);
            return (sum + assumed * assumedWeight) / (weight + assumedWeight);
        }
    }

    /** The sum of the logarithms of the paces of a step's runs on all workers. */
    private static final class StepPace {
        private final String firstWorker;
        private final String firstKind;
        private double sum;
        private int runs = 1;

        private StepPace(String firstWorker, String firstKind, double logPace) {
            this.firstWorker = firstWorker;
            this.firstKind = firstKind;
            this.sum = logPace;
        }
    }

    /**
     * Records the pace of a run. Only the first call for a run counts.
     *
     * @param run the run's name
     * @param step the name of its step
     * @param worker the worker's name
     * @param kind the name of the worker's kind, empty if it has none
     * @param pace the progress over a time, compared with that declared for the step; above 0
     * @param nowMillis the current monotonic time, in milliseconds
     */
    public void record(String run, String step, String worker, String kind, double pace, long nowMillis) {
        if (!(pace > 0)) {
            throw new IllegalArgumentException("pace must be above 0, not " + pace);
        }
        if (countedRuns.putIfAbsent(run, true) != null) {
            return;
        }
        double logPace = Math.log(pace);
        StepPace stepPace = steps.get(step);
        if (stepPace == null) {
            steps.put(step, new StepPace(worker, kind, logPace));
            return;
        }
        if (stepPace.runs == 1) {
            add(stepPace.firstWorker, stepPace.firstKind, stepPace.sum - logPace, nowMillis);
        }
        add(worker, kind, logPace - stepPace.sum / stepPace.runs, nowMillis);
        stepPace.sum += logPace;
        stepPace.runs++;
    }

    private void add(String worker, String kind, double logSpeed, long nowMillis) {
        double limit = Math.log(MAX_SAMPLE_FACTOR);
        double limited = Math.max(-limit, Math.min(limit, logSpeed));
        workers.computeIfAbsent(worker, absent -> new Estimate()).add(limited, nowMillis);
        kinds.computeIfAbsent(kind, absent -> new Estimate()).add(limited, nowMillis);
    }

    /**
     * Returns the speed of a worker.
     *
     * @param worker the worker's name
     * @param kind the name of the worker's kind, empty if it has none
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the factor on the usual speed, {@link #USUAL} if nothing is known
     */
    public double speed(String worker, String kind, long nowMillis) {
        return Math.max(1 / MAX_FACTOR, Math.min(MAX_FACTOR, Math.exp(logSpeed(worker, kind, nowMillis))));
    }

    private double logSpeed(String worker, String kind, long nowMillis) {
        Estimate ofKind = kinds.get(kind);
        double assumed = ofKind == null ? 0 : ofKind.mean(0, USUAL_RUNS, nowMillis);
        Estimate ofWorker = workers.get(worker);
        return ofWorker == null ? assumed : ofWorker.mean(assumed, KIND_RUNS, nowMillis);
    }

    private static <T> Map<String, T> bounded(int maxEntries) {
        return new LinkedHashMap<>(16, 0.75f, true) {

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, T> eldest) {
                return size() > maxEntries;
            }
        };
    }
}
