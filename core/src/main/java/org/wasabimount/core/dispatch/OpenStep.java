package org.wasabimount.core.dispatch;

import java.util.BitSet;
import java.util.List;

import org.wasabimount.core.job.CrashLimit;
import org.wasabimount.core.job.Job;
import org.wasabimount.core.job.JobTask;
import org.wasabimount.core.job.StepId;
import org.wasabimount.protocol.job.Step;

/** The tasks of one step of an open job, by what they wait for. */
final class OpenStep {

    private final StepId id;
    private final Step step;
    private final List<JobTask> tasks;

    /** The tasks that are neither done nor placed. */
    private final BitSet unplaced = new BitSet();

    /** The tasks for which a placement is being committed. */
    private final BitSet proposed = new BitSet();

    /** The tasks that are not done and may run only on workers of their own. */
    private final BitSet suspects = new BitSet();

    private int unfinished;
    private List<JobTask> waiting;

    OpenStep(Job job, StepId id) {
        this.id = id;
        this.step = job.step(id.step());
        this.tasks = job.tasks(id.occurrence(), id.step());
        this.unfinished = (int) tasks.stream().filter(task -> !task.done()).count();
        tasks.forEach(this::refresh);
    }

    StepId id() {
        return id;
    }

    Step step() {
        return step;
    }

    /** Returns whether all tasks are done. */
    boolean finished() {
        return unfinished == 0;
    }

    /** Returns the tasks that may be placed, in the order of their indexes: for a gang, all tasks or none. */
    List<JobTask> waiting() {
        if (waiting == null) {
            BitSet indexes = (BitSet) unplaced.clone();
            indexes.andNot(proposed);
            boolean placeable = !step.getGang() || indexes.cardinality() == tasks.size();
            waiting = placeable ? indexes.stream().mapToObj(tasks::get).toList() : List.of();
        }
        return waiting;
    }

    /** Returns whether any task may run only on workers of its own. */
    boolean hasSuspects() {
        return !suspects.isEmpty();
    }

    /**
     * Returns the tasks that may be placed while the step has suspects: all tasks of a gang, otherwise one suspect at a
     * time, so that no more than one worker can crash under them.
     */
    List<JobTask> waitingAlone() {
        if (step.getGang()) {
            return waiting();
        }
        BitSet indexes = (BitSet) suspects.clone();
        indexes.and(unplaced);
        indexes.andNot(proposed);
        boolean noneStarted = indexes.cardinality() == suspects.cardinality();
        return noneStarted ? indexes.stream().limit(1).mapToObj(tasks::get).toList() : List.of();
    }

    /** Returns whether any task is neither done nor placed, even if its placement is being committed. */
    boolean hasUnplaced() {
        return !unplaced.isEmpty();
    }

    /** Returns the work of the tasks that are not placed, in thousandths of a core times milliseconds. */
    long unplacedWork() {
        return unplaced.cardinality() * step.getSize().getCpuMillis() * step.getEstimateMillis();
    }

    /** Returns the work of the tasks that are not done, in thousandths of a core times milliseconds. */
    long unfinishedWork() {
        return unfinished * step.getSize().getCpuMillis() * step.getEstimateMillis();
    }

    /** Returns the cores that the tasks have to get together if they are a gang that is not placed, in thousandths. */
    long unplacedGangCpuMillis() {
        return step.getGang() ? unplaced.cardinality() * step.getSize().getCpuMillis() : 0;
    }

    /** Records that a placement of a task is being committed. */
    void proposed(JobTask task) {
        proposed.set(task.id().index());
        refresh(task);
    }

    /** Records that a task was placed or released, or that its placement was rejected. */
    void settled(JobTask task) {
        proposed.clear(task.id().index());
        refresh(task);
    }

    /** Records that the suspicions against a task have changed. */
    void suspicionChanged(JobTask task) {
        refresh(task);
    }

    /** Records that a task is done. */
    void completed(JobTask task) {
        unfinished--;
        refresh(task);
    }

    private void refresh(JobTask task) {
        unplaced.set(task.id().index(), task.awaitsPlacement());
        boolean suspect = !task.done() && !step.getLongRunning() && CrashLimit.suspected(task);
        suspects.set(task.id().index(), suspect);
        waiting = null;
    }
}
