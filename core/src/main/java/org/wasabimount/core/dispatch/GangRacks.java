package org.wasabimount.core.dispatch;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Finds the rack on which a gang works fastest. */
final class GangRacks {

    private GangRacks() {}

    /**
     * Returns the candidates on the rack where a gang works fastest, if they can hold all of it, otherwise all candidates:
     * the rack of its data, or for tasks that work best on one rack the one with most free room.
     */
    static List<WorkerRoom> preferred(WaitingStep gang, List<WorkerRoom> candidates) {
        ReadyStep ready = gang.ready();
        String dataRack = ready.step().getDataRack();
        if (dataRack.isEmpty() && !ready.step().getColocated()) {
            return candidates;
        }
        Map<String, List<WorkerRoom>> byRack = candidates.stream()
                .filter(room -> dataRack.isEmpty() || room.worker().rack().equals(dataRack))
                .collect(Collectors.groupingBy(room -> room.worker().rack(), LinkedHashMap::new, Collectors.toList()));
        return byRack.values().stream()
                .filter(rack -> rack.stream()
                                .mapToLong(room -> room.slots(ready.size()))
                                .sum()
                        >= ready.tasksAtOnce())
                .max(Comparator.comparingLong(rack ->
                        rack.stream().mapToLong(room -> room.freeSlots(gang)).sum()))
                .orElse(candidates);
    }
}
