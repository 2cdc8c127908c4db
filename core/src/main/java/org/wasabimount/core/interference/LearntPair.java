package org.wasabimount.core.interference;

/**
 * Evidence that tasks of one kind are slowed by tasks of another kind, or of the same kind, on the same worker.
 *
 * @param slowed the kind that is slowed
 * @param neighbour the kind that slows it
 * @param slowdown the factor on the duration of its tasks
 * @param samples the number of comparisons, with decay
 * @param workerGroups the number of groups of workers that the comparisons are from
 * @param ageMillis the time since the first comparison, in milliseconds
 * @param idleMillis the time since the latest comparison, in milliseconds
 */
public record LearntPair(
        TaskKind slowed,
        TaskKind neighbour,
        double slowdown,
        double samples,
        int workerGroups,
        long ageMillis,
        long idleMillis) {}
