package org.wasabimount.core.dispatch;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

import org.wasabimount.core.job.Job;
import org.wasabimount.core.job.JobTask;
import org.wasabimount.core.job.StepId;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.Queue;
import org.wasabimount.protocol.job.Step;

/** The planned times of one job: its critical path and the times at which it is due. */
final class JobPlan {

    /** Number of workers per advice call that is assumed in the critical path from which objectives are computed. */
    static final int ADVISED_WORKERS = 30;

    private final Job job;
    private final List<OpenStep> steps;
    private final long[] criticalPathMillis;
    private final Set<OpenStep> suspectSteps = new LinkedHashSet<>();
    private final long arrivedMillis;
    private final boolean beyondShare;
    private final long objectiveMillis;

    /**
     * Plans a job.
     *
     * @param job the job
     * @param arrivedMillis when it was first submitted, as monotonic time in milliseconds
     * @param beyondShare whether it comes after the work within the organisations' shares
     */
    JobPlan(Job job, long arrivedMillis, boolean beyondShare) {
        this.job = job;
        this.steps = job.occurrences().stream()
                .flatMap(occurrence -> IntStream.range(0, job.spec().getStepsCount())
                        .mapToObj(step -> new OpenStep(job, new StepId(job.id(), occurrence, step))))
                .toList();
        this.steps.forEach(this::recordSuspects);
        this.arrivedMillis = arrivedMillis;
        this.beyondShare = beyondShare;
        this.criticalPathMillis = criticalPathsMillis(job.spec(), job.queue());
        this.objectiveMillis = objectiveMillis(job.spec(), job.queue());
    }

    Job job() {
        return job;
    }

    /** Returns whether the job comes after the work within the organisations' shares. */
    boolean beyondShare() {
        return beyondShare;
    }

    /** Returns the steps of all occurrences. */
    List<OpenStep> steps() {
        return steps;
    }

    OpenStep step(int occurrence, int step) {
        return steps.get(occurrence * job.spec().getStepsCount() + step);
    }

    /** Takes over whether a step has suspects; returns true if that has changed. */
    boolean recordSuspects(OpenStep step) {
        return step.hasSuspects() ? suspectSteps.add(step) : suspectSteps.remove(step);
    }

    /** Returns whether the tasks of a step that may be placed must run on workers of their own. */
    boolean isolated(OpenStep step) {
        return suspectSteps.contains(step);
    }

    /**
     * Returns the tasks of a step that may be placed. While workers are suspected to crash under tasks of the job, these
     * run first, one step at a time: the job cannot complete without them.
     */
    List<JobTask> waiting(OpenStep step) {
        if (suspectSteps.isEmpty()) {
            return step.waiting();
        }
        return suspectSteps.iterator().next() == step ? step.waitingAlone() : List.of();
    }

    /** Returns whether every step that a step depends on is done. */
    boolean unblocked(OpenStep step) {
        return step.step().getAfterList().stream()
                .allMatch(earlier -> step(step.id().occurrence(), earlier).finished());
    }

    /** Returns the work of the tasks that are not placed, in thousandths of a core times milliseconds. */
    long unplacedWork() {
        return steps.stream().mapToLong(OpenStep::unplacedWork).sum();
    }

    /** Returns the work of the tasks that are not done, in thousandths of a core times milliseconds. */
    long unfinishedWork() {
        return steps.stream().mapToLong(OpenStep::unfinishedWork).sum();
    }

    /** Returns the cores that gangs that are not placed have to get, in thousandths of a core. */
    long unplacedGangCpuMillis() {
        return steps.stream().mapToLong(OpenStep::unplacedGangCpuMillis).sum();
    }

    /** Returns the length of the critical path from a step to the end of the job, in milliseconds. */
    long criticalPathMillis(int step) {
        return criticalPathMillis[step];
    }

    /** Returns the time at which an occurrence is due, as monotonic time in milliseconds. */
    long dueMillis(int occurrence) {
        long sinceFirst = job.spec().getOccurrences() == 0 ? 0 : job.dueMillis(occurrence) - job.acceptedMillis();
        return arrivedMillis + sinceFirst + objectiveMillis;
    }

    /** Returns the length of a job's critical path, in milliseconds. */
    static long criticalPathMillis(JobSpec spec, Queue queue) {
        long[] criticalPathsMillis = criticalPathsMillis(spec, queue);
        return IntStream.range(0, criticalPathsMillis.length)
                .mapToLong(step -> criticalPathsMillis[step])
                .max()
                .orElse(0);
    }

    /** Returns the time after acceptance within which a job must complete to meet its objective, in milliseconds. */
    static long objectiveMillis(JobSpec spec, Queue queue) {
        return (long) (queue.getStretch() * criticalPathMillis(spec, queue)) + queue.getObjectiveMillis();
    }

    /** Returns the total work of a job, in thousandths of a core times milliseconds. */
    static double work(JobSpec spec) {
        return spec.getStepsList().stream()
                .mapToDouble(
                        step -> (double) step.getCount() * step.getSize().getCpuMillis() * step.getEstimateMillis())
                .sum();
    }

    /** Returns whether any step of a job is a gang. */
    static boolean hasGang(JobSpec spec) {
        return spec.getStepsList().stream().anyMatch(Step::getGang);
    }

    private static long[] criticalPathsMillis(JobSpec spec, Queue queue) {
        long[] criticalPathsMillis = new long[spec.getStepsCount()];
        long[] successorsMillis = new long[spec.getStepsCount()];
        long adviceCallMillis = queue.hasAdvice() ? (long) adviceCallMillis(queue, ADVISED_WORKERS) : 0;
        // A step depends on earlier ones only, so from the last to the first each dependency is examined once.
        for (int step = criticalPathsMillis.length - 1; step >= 0; step--) {
            Step currentStep = spec.getSteps(step);
            long pathMillis = currentStep.getEstimateMillis() + adviceCallMillis + successorsMillis[step];
            criticalPathsMillis[step] = pathMillis;
            currentStep
                    .getAfterList()
                    .forEach(earlier -> successorsMillis[earlier] = Math.max(successorsMillis[earlier], pathMillis));
        }
        return criticalPathsMillis;
    }

    /** Returns the duration of an advice call for a number of workers, in milliseconds. */
    static double adviceCallMillis(Queue queue, int workers) {
        return queue.getAdvice().getCallMillis() + queue.getAdvice().getWorkerMillis() * workers;
    }
}
