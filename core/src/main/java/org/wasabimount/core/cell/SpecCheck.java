package org.wasabimount.core.cell;

import java.util.Collection;
import java.util.Optional;

import org.wasabimount.core.Names;
import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.protocol.cell.Quantity;
import org.wasabimount.protocol.cell.ResourceSpec;

/** Validates a specification before it is accepted. */
final class SpecCheck {

    static final int MAX_TASKS = 10_000;
    static final int MAX_ATTEMPTS = 100;

    private SpecCheck() {}

    static Optional<Refusal> check(String name, ResourceSpec spec) {
        if (!Names.valid(name)) {
            return invalid("name \"" + name + "\" must have lower-case letters, digits, dots and hyphens only");
        }
        if (spec.getTaskCount() < 0 || spec.getTaskCount() > MAX_TASKS) {
            return invalid("taskCount must be from 0 to " + MAX_TASKS + ", not " + spec.getTaskCount());
        }
        if (spec.getMaxAttempts() < 1 || spec.getMaxAttempts() > MAX_ATTEMPTS) {
            return invalid("maxAttempts must be from 1 to " + MAX_ATTEMPTS + ", not " + spec.getMaxAttempts());
        }
        if (spec.getDeclaredRunMillis() < 0) {
            return invalid("declaredRunMillis must not be negative");
        }
        return checkSize(spec.getTaskSize());
    }

    /** Refuses a specification that can never be placed: it exceeds the quota, or its tasks fit on no worker. */
    static Optional<Refusal> checkFeasible(
            WorkKind kind, ResourceSpec spec, OrganisationAccount account, Collection<Worker> workers) {
        Capacity size = Capacity.of(spec.getTaskSize());
        Capacity concurrentDemand = kind == WorkKind.BATCH ? size : size.times(spec.getTaskCount());
        if (!concurrentDemand.fitsIn(account.quota())) {
            return Optional.of(Refusal.of(ResultCode.OVER_QUOTA, "the tasks need more than the organisation's quota"));
        }
        boolean fits = workers.isEmpty() || workers.stream().anyMatch(worker -> size.fitsIn(worker.size()));
        return fits
                ? Optional.empty()
                : Optional.of(Refusal.of(ResultCode.NEVER_FITS, "one task is larger than any worker of the cell"));
    }

    private static Optional<Refusal> checkSize(Quantity size) {
        if (size.getCpuMillis() < 0 || size.getMemoryMegabytes() < 0 || size.getAccelerators() < 0) {
            return invalid("the parts of taskSize must not be negative");
        }
        if (size.getCpuMillis() == 0 && size.getMemoryMegabytes() == 0 && size.getAccelerators() == 0) {
            return invalid("taskSize must name processors, memory or accelerators");
        }
        return Optional.empty();
    }

    private static Optional<Refusal> invalid(String detail) {
        return Optional.of(Refusal.of(ResultCode.INVALID_VALUE, detail));
    }
}
