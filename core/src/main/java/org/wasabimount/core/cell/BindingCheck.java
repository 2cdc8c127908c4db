package org.wasabimount.core.cell;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.protocol.cell.Binding;

/**
 * Checks bindings against the state to which they are applied. A decision based on older state must not overcommit a
 * worker, exceed a quota or start only some of the tasks of a job.
 */
final class BindingCheck {

    private final CellState state;
    private final long nowMillis;
    private final Map<Worker, Capacity> demandByWorker = new HashMap<>();
    private final Map<OrganisationAccount, Capacity> chargeByAccount = new HashMap<>();
    private final Map<DeclaredResource, Integer> boundTaskCounts = new HashMap<>();
    private final Set<Task> checkedTasks = new HashSet<>();

    private BindingCheck(CellState state, long nowMillis) {
        this.state = state;
        this.nowMillis = nowMillis;
    }

    static Optional<Refusal> check(CellState state, List<Binding> bindings, long nowMillis) {
        BindingCheck check = new BindingCheck(state, nowMillis);
        for (Binding binding : bindings) {
            Optional<Refusal> refusal = check.add(binding);
            if (refusal.isPresent()) {
                return refusal;
            }
        }
        return check.checkTotals();
    }

    private Optional<Refusal> add(Binding binding) {
        Worker worker = state.worker(binding.getWorker()).orElse(null);
        Task task = state.task(binding.getTask()).orElse(null);
        if (task == null || task.state() != TaskState.PENDING || task.owner().deleting() || !checkedTasks.add(task)) {
            return stale("task " + binding.getTask() + " is not waiting to be bound");
        }
        if (worker == null || worker.incarnation() != binding.getIncarnation() || !worker.acceptsTasks(nowMillis)) {
            return stale("worker " + binding.getWorker() + " does not accept tasks");
        }
        Capacity size = task.owner().taskSize();
        demandByWorker.merge(worker, size, Capacity::plus);
        chargeByAccount.merge(task.owner().account(), size, Capacity::plus);
        boundTaskCounts.merge(task.owner(), 1, Integer::sum);
        return Optional.empty();
    }

    private Optional<Refusal> checkTotals() {
        boolean overcommits = demandByWorker.entrySet().stream()
                .anyMatch(entry -> !entry.getValue().fitsIn(entry.getKey().free()));
        if (overcommits) {
            return stale("a worker has too little free capacity");
        }
        boolean overQuota = chargeByAccount.entrySet().stream()
                .anyMatch(entry -> !entry.getKey()
                        .used()
                        .plus(entry.getValue())
                        .fitsIn(entry.getKey().quota()));
        if (overQuota) {
            return Optional.of(Refusal.of(ResultCode.OVER_QUOTA, "the organisation's quota would be exceeded"));
        }
        boolean partlyStarted = boundTaskCounts.entrySet().stream()
                .anyMatch(entry -> entry.getKey().kind().allAtOnce()
                        && entry.getValue() != entry.getKey().tasks().size());
        return partlyStarted ? stale("the tasks of a job must all be bound at once") : Optional.empty();
    }

    private static Optional<Refusal> stale(String detail) {
        return Optional.of(Refusal.of(ResultCode.VERSION_CONFLICT, detail));
    }
}
