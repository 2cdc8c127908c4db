package org.wasabimount.core.cell;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;

import org.wasabimount.core.FailureDomainId;
import org.wasabimount.core.WorkerId;
import org.wasabimount.protocol.cell.WorkerState;

/** A worker VM with the capacity committed on it and its record of failures and successes. */
public final class Worker {

    /** Failure score from which on a worker is quarantined and gets no new task. */
    static final int QUARANTINE_FAILURE_SCORE = 3;

    /** Maximum number of bound but not yet running tasks on a trusted worker. */
    static final int MAX_BOUND_TASKS = 4;

    /** Maximum number of bound but not yet running tasks on a worker where no task has succeeded yet. */
    static final int MAX_BOUND_TASKS_UNPROVEN = 3;

    /** How long after its last failure a worker that has had no success since gets only one start at a time. */
    static final long PROBATION_MILLIS = 60_000;

    private static final long QUARANTINE_MILLIS = 600_000;

    /** Maximum contribution to the failure score of a resource of which no task has succeeded on any worker. */
    private static final int MAX_SCORE_OF_UNPROVEN_RESOURCE = 2;

    private final WorkerId id;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Map<DeclaredResource, Integer> failures = new LinkedHashMap<>();
    private long incarnation;
    private FailureDomainId domain;
    private String rack;
    private Capacity size;
    private Capacity committed = Capacity.NONE;
    private boolean lost;
    private boolean leaving;
    private long quarantinedUntilMillis;
    private int boundTasks;
    private boolean proven;
    private long lastFailureMillis;
    private long changes;

    Worker(WorkerState announced) {
        this.id = new WorkerId(announced.getWorker());
        update(announced);
    }

    /**
     * Returns the worker's id.
     *
     * @return the id
     */
    public WorkerId id() {
        return id;
    }

    /**
     * Returns the worker's failure domain.
     *
     * @return the domain
     */
    public FailureDomainId domain() {
        return domain;
    }

    /**
     * Returns the worker's rack.
     *
     * @return the rack's name
     */
    public String rack() {
        return rack;
    }

    /**
     * Returns the worker's incarnation; a worker that has lost its former tasks has a greater one.
     *
     * @return the incarnation
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the worker's total capacity.
     *
     * @return the size
     */
    public Capacity size() {
        return size;
    }

    /**
     * Returns the capacity that is committed to tasks.
     *
     * @return the sum of the sizes of its tasks
     */
    public Capacity committed() {
        return committed;
    }

    /** Returns whether the worker has announced that it leaves. */
    boolean leaving() {
        return leaving;
    }

    /**
     * Returns the capacity that is not committed.
     *
     * @return the free capacity
     */
    public Capacity free() {
        return size.minus(committed);
    }

    /**
     * Returns the tasks that hold capacity here.
     *
     * @return an unmodifiable view
     */
    public Collection<Task> tasks() {
        return Collections.unmodifiableCollection(tasks.values());
    }

    /**
     * Returns whether tasks may be bound to this worker at all.
     *
     * @param nowMillis wall time in milliseconds
     * @return false if the worker is lost, leaving or quarantined
     */
    public boolean acceptsTasks(long nowMillis) {
        return !lost && !leaving && !quarantined(nowMillis);
    }

    /**
     * Returns whether no task has failed on this worker since the last success, or none within the probation period.
     *
     * @param nowMillis wall time in milliseconds
     * @return true if the worker is not on probation
     */
    public boolean trusted(long nowMillis) {
        return failures.isEmpty() || nowMillis - lastFailureMillis >= PROBATION_MILLIS;
    }

    /**
     * Returns whether a task has ever succeeded on this worker.
     *
     * @return true from the first success on
     */
    public boolean proven() {
        return proven;
    }

    /**
     * Returns how many more tasks may be bound to this worker now.
     *
     * <p>The number of bound tasks that do not run yet is limited, so that a worker that fails every task it starts is
     * detected before many starts are lost.
     *
     * @param nowMillis wall time in milliseconds
     * @return the count
     */
    public int availableStarts(long nowMillis) {
        int limit = proven ? MAX_BOUND_TASKS : MAX_BOUND_TASKS_UNPROVEN;
        return acceptsTasks(nowMillis) ? Math.max(0, (trusted(nowMillis) ? limit : 1) - boundTasks) : 0;
    }

    /**
     * Returns whether the worker gets no tasks because of the failures on it.
     *
     * @param nowMillis wall time in milliseconds
     * @return true until the quarantine ends or the failures are attributed to the resources
     */
    public boolean quarantined(long nowMillis) {
        return nowMillis < quarantinedUntilMillis && failureScore() >= QUARANTINE_FAILURE_SCORE;
    }

    /**
     * Returns a counter that increases with each state change of the worker's tasks.
     *
     * @return the number of changes, not kept across a restart
     */
    public long changes() {
        return changes;
    }

    /**
     * Returns whether the worker's lease ended without its tasks being stopped by it.
     *
     * @return true until the worker registers again
     */
    public boolean lost() {
        return lost;
    }

    boolean differsFrom(WorkerState announced) {
        return lost
                || leaving != announced.getLeaving()
                || incarnation != announced.getIncarnation()
                || !size.equals(Capacity.of(announced.getSize()));
    }

    void update(WorkerState announced) {
        incarnation = announced.getIncarnation();
        domain = new FailureDomainId(announced.getDomain());
        rack = announced.getRack();
        size = Capacity.of(announced.getSize());
        leaving = announced.getLeaving();
        lost = false;
    }

    void add(Task task) {
        tasks.put(task.id(), task);
        committed = committed.plus(task.owner().taskSize());
        task.owner().account().charge(task.owner().taskSize());
    }

    void remove(Task task) {
        tasks.remove(task.id());
        committed = committed.minus(task.owner().taskSize());
        task.owner().account().refund(task.owner().taskSize());
    }

    void markLost() {
        lost = true;
    }

    /** Returns the number of failures that are attributed to this worker rather than to the resources. */
    int failureScore() {
        return failures.entrySet().stream()
                .mapToInt(failure -> failureScore(failure.getKey(), failure.getValue()))
                .sum();
    }

    private static int failureScore(DeclaredResource resource, int count) {
        if (resource.failsEverywhere()) {
            return 0;
        }
        return resource.succeededOnce() ? count : Math.min(count, MAX_SCORE_OF_UNPROVEN_RESOURCE);
    }

    void recordFailure(DeclaredResource resource, long nowMillis) {
        lastFailureMillis = nowMillis;
        failures.merge(resource, 1, Integer::sum);
        if (failureScore() >= QUARANTINE_FAILURE_SCORE) {
            quarantinedUntilMillis = nowMillis + QUARANTINE_MILLIS;
        }
    }

    void recordSuccess() {
        proven = true;
        failures.clear();
    }

    void forgetFailures(DeclaredResource resource) {
        failures.remove(resource);
    }

    /** Records that a task of this worker changes its state. */
    void taskStateChanged(TaskState from, TaskState to) {
        changes++;
        boundTasks += (to == TaskState.BOUND ? 1 : 0) - (from == TaskState.BOUND ? 1 : 0);
    }

    void restore(WorkerState saved) {
        lost = saved.getLost();
        quarantinedUntilMillis = saved.getQuarantinedUntilMillis();
        proven = saved.getProven();
        lastFailureMillis = saved.getLastFailureMillis();
    }

    void restoreFailures(WorkerState saved, Function<String, DeclaredResource> resources) {
        saved.getFailuresMap().forEach((resource, count) -> failures.put(resources.apply(resource), count));
    }

    WorkerState toState() {
        return WorkerState.newBuilder()
                .setWorker(id.name())
                .setIncarnation(incarnation)
                .setDomain(domain.name())
                .setRack(rack)
                .setSize(size.toQuantity())
                .setLost(lost)
                .setLeaving(leaving)
                .setQuarantinedUntilMillis(quarantinedUntilMillis)
                .setProven(proven)
                .setLastFailureMillis(lastFailureMillis)
                .putAllFailures(failuresById())
                .build();
    }

    private Map<String, Integer> failuresById() {
        Map<String, Integer> byId = new LinkedHashMap<>();
        failures.forEach((resource, count) -> byId.put(resource.id(), count));
        return byId;
    }
}
