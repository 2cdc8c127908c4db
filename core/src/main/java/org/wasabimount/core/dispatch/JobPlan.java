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
    private final long[] chainMillis;
    private final long arrivedMillis;
    private final long objectiveMillis;

    JobPlan(Job job, long arrivedMillis) {
        this.job = job;
        this.arrivedMillis = arrivedMillis;
        this.chainMillis = chains(job.spec(), job.queue());
        this.objectiveMillis = objectiveMillis(job.spec(), job.queue());
    }

    Job job() {
        return job;
    }

    /** Returns how long a step and all that waits for it take, one after the other. */
    long chainMillis(int step) {
        return chainMillis[step];
    }

    /** Returns when an occurrence has to be done, as monotonic time. */
    long dueMillis(int occurrence) {
        long sinceFirst = job.spec().getOccurrences() == 0 ? 0 : job.dueMillis(occurrence) - job.acceptedMillis();
        return arrivedMillis + sinceFirst + objectiveMillis;
    }

    /** Returns the longest chain of a job, in milliseconds. */
    static long chainMillis(JobSpec spec, Queue queue) {
        long[] chains = chains(spec, queue);
        return IntStream.range(0, chains.length)
                .mapToLong(step -> chains[step])
                .max()
                .orElse(0);
    }

    /** Returns the time in which a job is of full use, in milliseconds. */
    static long objectiveMillis(JobSpec spec, Queue queue) {
        return (long) (queue.getStretch() * chainMillis(spec, queue)) + queue.getObjectiveMillis();
    }

    /** Returns the work of a job in thousandths of a core times milliseconds. */
    static double work(JobSpec spec) {
        return spec.getStepsList().stream()
                .mapToDouble(
                        step -> (double) step.getCount() * step.getSize().getCpuMillis() * step.getEstimateMillis())
                .sum();
    }

    private static long[] chains(JobSpec spec, Queue queue) {
        long[] chains = new long[spec.getStepsCount()];
        long adviceMillis = queue.hasAdvice() ? (long) adviceMillis(queue, ADVISED_WORKERS) : 0;
        for (int step = chains.length - 1; step >= 0; step--) {
            int current = step;
            long after = IntStream.range(step + 1, chains.length)
                    .filter(later -> spec.getSteps(later).getAfterList().contains(current))
                    .mapToLong(later -> chains[later])
                    .max()
                    .orElse(0);
            Step own = spec.getSteps(step);
            chains[step] = own.getEstimateMillis() + adviceMillis + after;
        }
        return chains;
    }

    /** Returns how long a call for advice takes, in milliseconds. */
    static double adviceMillis(Queue queue, int workers) {
        return queue.getAdvice().getCallMillis() + queue.getAdvice().getWorkerMillis() * workers;
    }
}
