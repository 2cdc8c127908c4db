package org.wasabimount.core.job;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.protocol.job.Pool;
import org.wasabimount.protocol.job.Queue;
import org.wasabimount.protocol.job.QueueTable;

/** Validates a table of queues before it takes effect. */
public final class QueueCheck {

    private QueueCheck() {}

    /**
     * Validates a whole table.
     *
     * @param table the table
     * @return the reason for refusing the table, empty if it is valid
     */
    public static Optional<Refusal> check(QueueTable table) {
        if (table.getVersion() <= 0) {
            return refuse("the version must be greater than 0, not " + table.getVersion());
        }
        Set<String> pools = new HashSet<>();
        for (Pool pool : table.getPoolsList()) {
            if (pool.getName().isEmpty() || !pools.add(pool.getName())) {
                return refuse("pool \"" + pool.getName() + "\" has no name or is defined more than once");
            }
        }
        Optional<Refusal> organisationProblem = OrganisationCheck.check(table.getOrganisationsList());
        if (organisationProblem.isPresent()) {
            return organisationProblem;
        }
        Set<String> names = new HashSet<>();
        Set<String> hostsWithPrefix = new HashSet<>();
        return table.getQueuesList().stream()
                .map(queue -> problem(queue, pools, names, hostsWithPrefix))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private static Optional<Refusal> problem(
            Queue queue, Set<String> pools, Set<String> names, Set<String> hostsWithPrefix) {
        String name = "queue \"" + queue.getName() + "\" ";
        if (queue.getName().isEmpty() || !names.add(queue.getName())) {
            return refuse(name + "has no name or is defined more than once");
        }
        if (queue.getHost().isEmpty() || !queue.getPathPrefix().startsWith("/")) {
            return refuse(name + "has no host or no path prefix");
        }
        if (!hostsWithPrefix.add(queue.getHost() + queue.getPathPrefix())) {
            return refuse(name + "has the same host and path prefix as another queue");
        }
        if (!pools.contains(queue.getPool())) {
            return refuse(name + "refers to the unknown pool \"" + queue.getPool() + "\"");
        }
        return queue.getTimeoutMillis() <= 0 ? refuse(name + "has no timeout greater than 0") : Optional.empty();
    }

    private static Optional<Refusal> refuse(String detail) {
        return Optional.of(Refusal.of(ResultCode.INVALID_VALUE, detail));
    }
}
