package org.wasabimount.core.job;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.protocol.job.Pool;
import org.wasabimount.protocol.job.Queue;
import org.wasabimount.protocol.job.QueueTable;

/** Checks a table of queues before it may be put. */
public final class QueueCheck {

    private QueueCheck() {}

    /**
     * Checks a table as a whole.
     *
     * @param table the table
     * @return why it is refused, empty if it is valid
     */
    public static Optional<Refusal> check(QueueTable table) {
        if (table.getVersion() <= 0) {
            return refuse("the version must be greater than 0, not " + table.getVersion());
        }
        Set<String> pools = new HashSet<>();
        for (Pool pool : table.getPoolsList()) {
            if (pool.getName().isEmpty() || !pools.add(pool.getName())) {
                return refuse("pool \"" + pool.getName() + "\" has no name or stands twice");
            }
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
            return refuse(name + "has no name or stands twice");
        }
        if (queue.getHost().isEmpty() || !queue.getPathPrefix().startsWith("/")) {
            return refuse(name + "has no host or no path prefix");
        }
        if (!hostsWithPrefix.add(queue.getHost() + queue.getPathPrefix())) {
            return refuse(name + "shares its host and path prefix with another");
        }
        if (!pools.contains(queue.getPool())) {
            return refuse(name + "names the unknown pool \"" + queue.getPool() + "\"");
        }
        return queue.getTimeoutMillis() <= 0 ? refuse(name + "has no timeout") : Optional.empty();
    }

    private static Optional<Refusal> refuse(String detail) {
        return Optional.of(Refusal.of(ResultCode.INVALID_VALUE, detail));
    }
}
