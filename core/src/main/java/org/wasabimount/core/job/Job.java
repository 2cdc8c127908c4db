package org.wasabimount.core.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.wasabimount.protocol.job.JobPhase;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.JobState;
import org.wasabimount.protocol.job.Queue;
import org.wasabimount.protocol.job.Step;

/** One accepted job with its tasks. */
public final class Job {

    private JobSpec spec;
    private final Queue queue;
    private final String organisation;
    private final long acceptedMillis;
    private final Map<Integer, List<List<JobTask>>> occurrences = new TreeMap<>();
    private JobPhase phase = JobPhase.QUEUED;
    private boolean begun;
    private long endedMillis;

    /**
     * Creates a job of which no task was placed.
     *
     * @param spec the specification that the client submitted
     * @param queue the queue to which it was submitted
     * @param organisation the organisation that submitted it, empty if the queue requires no secret
     * @param acceptedMillis when it was accepted, in milliseconds since 1970
     */
    public Job(JobSpec spec, Queue queue, String organisation, long acceptedMillis) {
        this.spec = spec;
        this.queue = queue;
        this.organisation = organisation;
        this.acceptedMillis = acceptedMillis;
        IntStream.range(0, Math.max(1, spec.getOccurrences())).forEach(this::addOccurrence);
    }

    private void addOccurrence(int occurrence) {
        List<List<JobTask>> steps = new ArrayList<>();
        for (int step = 0; step < spec.getStepsCount(); step++) {
            StepId id = new StepId(spec.getId(), occurrence, step);
            steps.add(IntStream.range(0, spec.getSteps(step).getCount())
                    .mapToObj(index -> new JobTask(id.task(index)))
                    .toList());
        }
        occurrences.put(occurrence, steps);
    }

    /**
     * Returns the job's id.
     *
     * @return the id that its client chose
     */
    public String id() {
        return spec.getId();
    }

    /**
     * Returns the specification that the client submitted.
     *
     * @return the specification
     */
    public JobSpec spec() {
        return spec;
    }

    /**
     * Returns the queue as it was when the job was accepted.
     *
     * @return the queue
     */
    public Queue queue() {
        return queue;
    }

    /**
     * Returns the organisation that submitted the job.
     *
     * @return its name, empty if the queue required no secret
     */
    public String organisation() {
        return organisation;
    }

    /**
     * Returns when the job was accepted.
     *
     * @return the wall-clock time in milliseconds since 1970
     */
    public long acceptedMillis() {
        return acceptedMillis;
    }

    /**
     * Returns when the job ended.
     *
     * @return the wall-clock time in milliseconds since 1970, zero while the job has not ended
     */
    public long endedMillis() {
        return endedMillis;
    }

    /**
     * Returns the job's current phase.
     *
     * @return the phase
     */
    public JobPhase phase() {
        return phase;
    }

    /**
     * Returns whether the job's tasks may still be started.
     *
     * @return false once the job is completed, broken down or cancelled
     */
    public boolean open() {
        return phase == JobPhase.QUEUED || phase == JobPhase.ACTIVE;
    }

    /**
     * Returns the numbers of the occurrences.
     *
     * @return the numbers; a single one for a job that runs once
     */
    public Collection<Integer> occurrences() {
        return occurrences.keySet();
    }

    /**
     * Returns the earliest time at which an occurrence may start.
     *
     * @param occurrence the number of the occurrence
     * @return the wall-clock time in milliseconds since 1970
     */
    public long dueMillis(int occurrence) {
        return spec.getOccurrences() == 0
                ? acceptedMillis
                : spec.getFirstDueMillis() + occurrence * spec.getIntervalMillis();
    }

    /**
     * Returns the specification of a step.
     *
     * @param step the number of the step
     * @return the specification
     */
    public Step step(int step) {
        return spec.getSteps(step);
    }

    /**
     * Returns the tasks of a step.
     *
     * @param occurrence the number of the occurrence
     * @param step the number of the step
     * @return the tasks by index
     */
    public List<JobTask> tasks(int occurrence, int step) {
        return occurrences.get(occurrence).get(step);
    }

    /**
     * Returns every task of the job.
     *
     * @return the tasks
     */
    public Stream<JobTask> tasks() {
        return occurrences.values().stream().flatMap(List::stream).flatMap(List::stream);
    }

    /**
     * Returns whether every step that a step depends on is done.
     *
     * @param occurrence the number of the occurrence
     * @param step the number of the step
     * @return true if the step's tasks may start
     */
    public boolean unblocked(int occurrence, int step) {
        return step(step).getAfterList().stream().allMatch(earlier -> stepDone(occurrence, earlier));
    }

    /**
     * Returns whether every task of a step is done.
     *
     * @param occurrence the number of the occurrence
     * @param step the number of the step
     * @return true if no task of the step has to run any more
     */
    public boolean stepDone(int occurrence, int step) {
        return tasks(occurrence, step).stream().allMatch(JobTask::done);
    }

    /**
     * Returns whether any task of the job has been placed on a worker.
     *
     * @return true from the first placement on
     */
    public boolean started() {
        return phase != JobPhase.QUEUED;
    }

    /**
     * Returns whether a task of the job has begun, as far as it is recorded: a worker has shown that it has had one. A
     * placement alone does not count, as its start may be carried out late or never.
     *
     * @return true from then on
     */
    public boolean begun() {
        return begun;
    }

    void begin() {
        begun = true;
    }

    boolean has(TaskId task) {
        return occurrences.containsKey(task.occurrence())
                && task.step() >= 0
                && task.step() < spec.getStepsCount()
                && task.index() >= 0
                && task.index() < spec.getSteps(task.step()).getCount();
    }

    JobTask task(TaskId task) {
        return tasks(task.occurrence(), task.step()).get(task.index());
    }

    /**
     * Returns the saved progress from which a task resumes.
     *
     * @param id the task
     * @return the progress as reported by a worker, for a task of a gang by the worker of any of its tasks; empty if there is
     *     none
     */
    public String savedProgress(TaskId id) {
        // All tasks of a gang resume from the same saved progress.
        Stream<JobTask> tasks =
                step(id.step()).getGang() ? tasks(id.occurrence(), id.step()).stream() : Stream.of(task(id));
        return tasks.map(JobTask::saved)
                .filter(saved -> !saved.isEmpty())
                .findFirst()
                .orElse("");
    }

    void activate() {
        if (phase == JobPhase.QUEUED) {
            phase = JobPhase.ACTIVE;
        }
    }

    void end(JobPhase endPhase, long nowMillis) {
        phase = endPhase;
        endedMillis = nowMillis;
        // Only starts need the payload; the job is kept for as long as its state may be asked for.
        spec = spec.toBuilder().clearPayload().build();
    }

    boolean allDone() {
        return spec.getStepsList().stream().noneMatch(Step::getLongRunning) && tasks().allMatch(JobTask::done);
    }

    /** Returns whether the tasks of a step may fail only as often as the queue allows. */
    boolean limitsAttempts(int step) {
        return queue.getMaxAttempts() > 0 && !step(step).getLongRunning();
    }

    /**
     * Returns how many attempts have failed of the task, or gang, that has failed most often and is not done.
     *
     * @return the count; tasks without a limit are left out
     */
    public int failedAttempts() {
        return occurrences.values().stream()
                .flatMapToInt(steps -> IntStream.range(0, steps.size())
                        .filter(this::limitsAttempts)
                        .map(step -> failedAttempts(step, steps.get(step))))
                .max()
                .orElse(0);
    }

    /** Returns whether a task that is not done, or its gang, has failed as often as the queue allows. */
    boolean attemptsExhausted() {
        return queue.getMaxAttempts() > 0 && failedAttempts() >= queue.getMaxAttempts();
    }

    /** Returns how many attempts of a step's tasks have failed at most; a gang fails once for each run. */
    private int failedAttempts(int step, List<JobTask> tasks) {
        if (!step(step).getGang()) {
            return tasks.stream()
                    .filter(task -> !task.done())
                    .mapToInt(JobTask::failures)
                    .max()
                    .orElse(0);
        }
        List<JobTask> members = tasks.stream().filter(task -> !task.done()).toList();
        long failedRuns =
                members.stream().flatMap(JobTask::failedRuns).distinct().count();
        return (int) failedRuns
                + members.stream().mapToInt(JobTask::failuresCountedByEnd).sum();
    }

    JobState toState() {
        JobState.Builder state = JobState.newBuilder()
                .setSpec(spec)
                .setQueue(queue)
                .setPhase(phase)
                .setAcceptedMillis(acceptedMillis)
                .setEndedMillis(endedMillis)
                .setBegun(begun)
                .setOrganisation(organisation);
        tasks().filter(task -> !task.inInitialState()).map(JobTask::toState).forEach(state::addTasks);
        return state.build();
    }

    static Job restore(JobState state) {
        Job job = new Job(state.getSpec(), state.getQueue(), state.getOrganisation(), state.getAcceptedMillis());
        job.phase = state.getPhase();
        job.endedMillis = state.getEndedMillis();
        job.begun = state.getBegun();
        state.getTasksList().forEach(task -> job.task(TaskId.of(task.getTask())).restore(task));
        return job;
    }
}
