package org.wasabimount.core.cell;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Function;

import org.wasabimount.core.FailureDomainId;
import org.wasabimount.core.WorkerId;
import org.wasabimount.protocol.cell.WorkerState;

/** A worker VM, what is committed on it and how far it is trusted. */
public final class Worker {

    /** Evidence from which on a worker is given no new task. */
    static final int QUARANTINE_FAILURE_SCORE = 3;

    /** Most starts that a trusted worker may have open at once. */
    static final int MAX_BOUND_TASKS = 4;

    /** Most starts that a worker may have open at once before a task has ended well there. */
    static final int MAX_BOUND_TASKS_UNPROVEN = 3;

    /** How long a worker that has failed something gets one start at a time. */
    static final long PROBATION_MILLIS = 60_000;

    private static final long QUARANTINE_MILLIS = 600_000;

    /** Most evidence that one resource gives that has never ended well anywhere. */
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
     * Returns the number of the worker's life; a worker that has lost its former tasks has a greater one.
     *
     * @return the incarnation
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns what the worker has in all.
     *
     * @return the size
     */
    public Capacity size() {
        return size;
    }

    /**
     * Returns what is committed to tasks.
     *
     * @return the sum of the sizes of its tasks
     */
    public Capacity committed() {
        return committed;
    }

    /**
     * Returns what is not committed.
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
     * Tells whether tasks may be bound here at all.
     *
     * @param nowMillis wall time in milliseconds
     * @return false if the worker is gone, leaving or in quarantine
     */
    public boolean acceptsTasks(long nowMillis) {
        return !lost && !leaving && !quarantined(nowMillis);
    }

    /**
     * Tells whether nothing failed here since the last success, or not for long.
     *
     * @param nowMillis wall time in milliseconds
     * @return true for a worker above suspicion
     */
    public boolean trusted(long nowMillis) {
        return failures.isEmpty() || nowMillis - lastFailureMillis >= PROBATION_MILLIS;
    }

    /**
     * Tells whether a task has ever ended well here.
     *
     * @return true from the first success on
     */
    public boolean proven() {
        return proven;
    }

    /**
     * Returns how many more tasks should be bound here now.
     *
     * <p>A worker that fails what it starts is found before it has cost many starts, because it may have few open.
     *
     * @param nowMillis wall time in milliseconds
     * @return the count
     */
    public int availableStarts(long nowMillis) {
        int limit = proven ? MAX_BOUND_TASKS : MAX_BOUND_TASKS_UNPROVEN;
        return acceptsTasks(nowMillis) ? Math.max(0, (trusted(nowMillis) ? limit : 1) - boundTasks) : 0;
    }

    /**
     * Tells whether the worker gets no task because of what failed on it.
     *
     * @param nowMillis wall time in milliseconds
     * @return true until the quarantine ends or the failures prove to be the resources' own
     */
    public boolean quarantined(long nowMillis) {
        return nowMillis < quarantinedUntilMillis && failureScore() >= QUARANTINE_FAILURE_SCORE;
    }

    /**
     * Returns a number that grows with each change of the worker's tasks.
     *
     * @return the count of changes, not kept over a restart
     */
    public long changes() {
        return changes;
    }

    /**
     * Tells whether the worker's lease ended without its tasks being stopped by it.
     *
     * @return true until the worker is heard again
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

    /** Sums what the failures here say against this worker rather than against the resources. */
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

    /** Notes that a task here goes from one state to another. */
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
