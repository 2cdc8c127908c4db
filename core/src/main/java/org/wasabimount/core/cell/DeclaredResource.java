package org.wasabimount.core.cell;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;

import org.wasabimount.core.OrganisationId;
import org.wasabimount.protocol.cell.PartitionPolicy;
import org.wasabimount.protocol.cell.Resource;
import org.wasabimount.protocol.cell.ResourceKind;
import org.wasabimount.protocol.cell.ResourcePhase;
import org.wasabimount.protocol.cell.ResourceSpec;
import org.wasabimount.protocol.cell.TaskCounts;

/** A service, batch or all-at-once job that an operator declared. */
public final class DeclaredResource {

    private static final int FAILED_WORKERS_TO_BLAME_RESOURCE = 3;

    private final OrganisationAccount account;
    private final OrganisationId organisation;
    private final WorkKind kind;
    private final String name;
    private final String id;
    private final long createdMillis;
    private final List<Task> tasks = new ArrayList<>();
    private final int[] counts = new int[TaskState.values().length];
    private final Set<String> failedWorkers = new LinkedHashSet<>();
    private ResourceSpec spec;
    private Capacity taskSize;
    private long version;
    private long revision;
    private boolean deleting;
    private boolean restarting;
    private int attempts;
    private boolean succeededOnce;
    private String brokenReason = "";

    DeclaredResource(OrganisationAccount account, WorkKind kind, String name, long createdMillis) {
        this.account = account;
        this.organisation = account.id();
        this.kind = kind;
        this.name = name;
        this.createdMillis = createdMillis;
        this.id = key(organisation, kind, name);
    }

    static String key(OrganisationId organisation, WorkKind kind, String name) {
        return organisation + "/" + kind.segment() + "/" + name;
    }

    static String key(String organisation, ResourceKind kind, String name) {
        return key(new OrganisationId(organisation), WorkKind.of(kind), name);
    }

    /**
     * Returns the resource's id: organisation, kind and name.
     *
     * @return the id, unique in the cell
     */
    public String id() {
        return id;
    }

    /**
     * Returns the organisation that the resource belongs to.
     *
     * @return the organisation
     */
    public OrganisationId organisation() {
        return organisation;
    }

    /**
     * Returns the kind of work.
     *
     * @return the kind
     */
    public WorkKind kind() {
        return kind;
    }

    /**
     * Returns the resource's name.
     *
     * @return the name, unique among its organisation's resources of the kind
     */
    public String name() {
        return name;
    }

    /**
     * Returns the resource's specification.
     *
     * @return the specification that was accepted last
     */
    public ResourceSpec spec() {
        return spec;
    }

    /**
     * Returns the capacity that each task takes.
     *
     * @return the size of one task
     */
    public Capacity taskSize() {
        return taskSize;
    }

    /**
     * Returns when the resource was declared.
     *
     * @return wall time in milliseconds
     */
    public long createdMillis() {
        return createdMillis;
    }

    /**
     * Returns all tasks.
     *
     * @return an unmodifiable view
     */
    public List<Task> tasks() {
        return Collections.unmodifiableList(tasks);
    }

    /**
     * Returns whether a task of this resource has failed on any worker.
     *
     * @return true if one has
     */
    public boolean hasFailures() {
        return !failedWorkers.isEmpty();
    }

    /**
     * Returns whether a task of this resource has failed on a worker.
     *
     * @param worker the worker
     * @return true if one has
     */
    public boolean hasFailedOn(Worker worker) {
        return failedWorkers.contains(worker.id().name());
    }

    /**
     * Returns the account that the resource's tasks are charged to.
     *
     * @return the organisation's account
     */
    public OrganisationAccount account() {
        return account;
    }

    /** Returns whether the failures are attributed to the resource rather than to the workers. */
    boolean failsEverywhere() {
        return !succeededOnce && failedWorkers.size() >= FAILED_WORKERS_TO_BLAME_RESOURCE;
    }

    boolean succeededOnce() {
        return succeededOnce;
    }

    Set<String> failedWorkers() {
        return failedWorkers;
    }

    /**
     * Returns the pending tasks that may be bound now.
     *
     * @param nowMillis wall time in milliseconds
     * @return the tasks in order of their index
     */
    public Stream<Task> startableTasks(long nowMillis) {
        return deleting || broken() || count(TaskState.PENDING) == 0
                ? Stream.empty()
                : tasks.stream()
                        .filter(task -> task.state() == TaskState.PENDING && task.notBeforeMillis() <= nowMillis);
    }

    /**
     * Returns how many tasks are in a state.
     *
     * @param state the state
     * @return the count
     */
    public int count(TaskState state) {
        return counts[state.ordinal()];
    }

    boolean holdsCapacity() {
        return count(TaskState.BOUND) + count(TaskState.RUNNING) + count(TaskState.STOPPING) > 0;
    }

    boolean keptThroughPartition() {
        return spec.getOnPartition() == PartitionPolicy.KEEP;
    }

    long version() {
        return version;
    }

    long revision() {
        return revision;
    }

    boolean deleting() {
        return deleting;
    }

    boolean restarting() {
        return restarting;
    }

    boolean broken() {
        return !brokenReason.isEmpty();
    }

    int attempts() {
        return attempts;
    }

    void count(TaskState state, int change) {
        counts[state.ordinal()] += change;
    }

    void applySpec(ResourceSpec newSpec, long newVersion, long nowMillis) {
        spec = newSpec;
        taskSize = Capacity.of(newSpec.getTaskSize());
        version = newVersion;
        for (int index = tasks.size(); index < newSpec.getTaskCount(); index++) {
            addTask(index, nowMillis);
        }
    }

    /** Removes tasks beyond the declared count that no longer hold capacity on a worker. */
    void removeSurplusTasks() {
        while (tasks.size() > spec.getTaskCount()
                && !tasks.get(tasks.size() - 1).state().holdsCapacity()) {
            Task last = tasks.remove(tasks.size() - 1);
            count(last.state(), -1);
        }
    }

    boolean isSurplus(Task task) {
        return task.index() >= spec.getTaskCount();
    }

    void delete() {
        deleting = true;
    }

    void beginRestartAfterFailure() {
        restarting = true;
        attempts++;
    }

    /** Begins a restart for which the job is not at fault; it does not count as an attempt. */
    void beginRestartAfterInterruption() {
        restarting = true;
    }

    void finishRestart() {
        restarting = false;
    }

    void markBroken(String reason) {
        brokenReason = reason;
    }

    void recordFailure(Worker worker) {
        failedWorkers.add(worker.id().name());
    }

    void recordSuccess() {
        succeededOnce = true;
    }

    void recordChange(long newRevision) {
        revision = newRevision;
    }

    private Task addTask(int index, long nowMillis) {
        Task task = new Task(this, index, nowMillis);
        tasks.add(task);
        count(TaskState.PENDING, 1);
        return task;
    }

    private ResourcePhase phase() {
        if (broken()) {
            return ResourcePhase.BROKEN;
        }
        int ended = count(TaskState.SUCCEEDED) + count(TaskState.FAILED) + count(TaskState.STOPPED);
        if (ended == tasks.size()) {
            return count(TaskState.FAILED) > 0 ? ResourcePhase.BROKEN : ResourcePhase.COMPLETE;
        }
        return count(TaskState.RUNNING) > 0 ? ResourcePhase.ACTIVE : ResourcePhase.WAITING;
    }

    Resource toSummary() {
        return summary().build();
    }

    Resource toDeleted(long deletedRevision) {
        return summary()
                .setPhase(ResourcePhase.DELETED)
                .setRevision(deletedRevision)
                .build();
    }

    Resource toFull() {
        return summary()
                .addAllTasks(tasks.stream().map(Task::toStatus).toList())
                .build();
    }

    private Resource.Builder summary() {
        return Resource.newBuilder()
                .setOrganisation(organisation.name())
                .setKind(kind.messageKind())
                .setName(name)
                .setVersion(version)
                .setRevision(revision)
                .setSpec(spec)
                .setPhase(phase())
                .setReason(brokenReason)
                .setCreatedMillis(createdMillis)
                .setDeleting(deleting)
                .setRestarting(restarting)
                .setAttempts(attempts)
                .addAllFailedWorkers(failedWorkers)
                .setSucceededOnce(succeededOnce)
                .setCounts(TaskCounts.newBuilder()
                        .setPending(count(TaskState.PENDING))
                        .setBound(count(TaskState.BOUND))
                        .setRunning(count(TaskState.RUNNING))
                        .setStopping(count(TaskState.STOPPING))
                        .setSucceeded(count(TaskState.SUCCEEDED))
                        .setFailed(count(TaskState.FAILED)));
    }

    static DeclaredResource restore(Resource saved, OrganisationAccount account, Function<String, Worker> workers) {
        DeclaredResource resource =
                new DeclaredResource(account, WorkKind.of(saved.getKind()), saved.getName(), saved.getCreatedMillis());
        resource.spec = saved.getSpec();
        resource.taskSize = Capacity.of(saved.getSpec().getTaskSize());
        resource.version = saved.getVersion();
        resource.revision = saved.getRevision();
        resource.deleting = saved.getDeleting();
        resource.restarting = saved.getRestarting();
        resource.attempts = saved.getAttempts();
        resource.brokenReason = saved.getReason();
        resource.succeededOnce = saved.getSucceededOnce();
        resource.failedWorkers.addAll(saved.getFailedWorkersList());
        saved.getTasksList().forEach(status -> {
            Worker worker = status.getWorker().isEmpty() ? null : workers.apply(status.getWorker());
            resource.addTask(resource.tasks.size(), 0).restore(status, worker);
        });
        return resource;
    }
}
