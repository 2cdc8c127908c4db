package org.wasabimount.core.dispatch;

import java.util.stream.IntStream;

import org.wasabimount.core.job.Job;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.Queue;
import org.wasabimount.protocol.job.Step;

/** The times of one job as the leader plans them: its longest chain, and when it has to be done. */
final class JobPlan {

    /** How many workers a call for advice names in the chain that objectives are made from. */
    private static final int ADVISED_WORKERS = 30;

    private final Job job;
    private final long[] criticalPathMillis;
    private final long arrivedMillis;
    private final long objectiveMillis;

    JobPlan(Job job, long arrivedMillis) {
        this.job = job;
        this.arrivedMillis = arrivedMillis;
        this.criticalPathMillis = criticalPathsMillis(job.spec(), job.queue());
        this.objectiveMillis = objectiveMillis(job.spec(), job.queue());
    }

    Job job() {
        return job;
    }

    /** Returns how long a step and all that waits for it take, one after the other. */
    long criticalPathMillis(int step) {
        return criticalPathMillis[step];
    }

    /** Returns when an occurrence has to be done, as monotonic time. */
    long dueMillis(int occurrence) {
        long sinceFirst = job.spec().getOccurrences() == 0 ? 0 : job.dueMillis(occurrence) - job.acceptedMillis();
        return arrivedMillis + sinceFirst + objectiveMillis;
    }

    /** Returns the longest chain of a job, in milliseconds. */
    static long criticalPathMillis(JobSpec spec, Queue queue) {
        long[] criticalPathsMillis = criticalPathsMillis(spec, queue);
        return IntStream.range(0, criticalPathsMillis.length)
                .mapToLong(step -> criticalPathsMillis[step])
                .max()
                .orElse(0);
    }

    /** Returns the time in which a job is of full use, in milliseconds. */
    static long objectiveMillis(JobSpec spec, Queue queue) {
        return (long) (queue.getStretch() * criticalPathMillis(spec, queue)) + queue.getObjectiveMillis();
    }

    /** Returns the work of a job in thousandths of a core times milliseconds. */
    static double work(JobSpec spec) {
        return spec.getStepsList().stream()
                .mapToDouble(
                        step -> (double) step.getCount() * step.getSize().getCpuMillis() * step.getEstimateMillis())
                .sum();
    }

    private static long[] criticalPathsMillis(JobSpec spec, Queue queue) {
        long[] criticalPathsMillis = new long[spec.getStepsCount()];
        long adviceCallMillis = queue.hasAdvice() ? (long) adviceCallMillis(queue, ADVISED_WORKERS) : 0;
        for (int step = criticalPathsMillis.length - 1; step >= 0; step--) {
            int current = step;
            long successorsMillis = IntStream.range(step + 1, criticalPathsMillis.length)
                    .filter(later -> spec.getSteps(later).getAfterList().contains(current))
                    .mapToLong(later -> criticalPathsMillis[later])
                    .max()
                    .orElse(0);
            Step currentStep = spec.getSteps(step);
            criticalPathsMillis[step] = currentStep.getEstimateMillis() + adviceCallMillis + successorsMillis;
        }
        return criticalPathsMillis;
    }

    /** Returns how long a call for advice takes, in milliseconds. */
    static double adviceCallMillis(Queue queue, int workers) {
        return queue.getAdvice().getCallMillis() + queue.getAdvice().getWorkerMillis() * workers;
    }
}
