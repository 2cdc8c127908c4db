package org.wasabimount.daemon.cell;

import java.util.concurrent.CompletableFuture;

import org.wasabimount.core.Clock;
import org.wasabimount.daemon.log.GroupThread;
import org.wasabimount.protocol.cell.LedgerCommand;
import org.wasabimount.protocol.cell.Reply;

/** Appends commands to a ledger's log, with the leader's time, while this replica leads. */
public final class LedgerLeader {

    private final GroupThread group;
    private final Clock clock;
    private final Clock wallClock;

    /**
     * Creates the instance.
     *
     * @param group the ledger's group
     * @param clock the monotonic clock
     * @param wallClock the wall clock
     */
    public LedgerLeader(GroupThread group, Clock clock, Clock wallClock) {
        this.group = group;
        this.clock = clock;
        this.wallClock = wallClock;
    }

    /**
     * Executes a command. Called on the group's thread.
     *
     * @param command the command; its time is set by this method
     * @return completed once the command is applied
     */
    public CompletableFuture<Reply> write(LedgerCommand command) {
        if (!group.replica().mayDecide(clock.millis())) {
            return CompletableFuture.completedFuture(group.notLeader());
        }
        return group.propose(
                command.toBuilder().setTimeMillis(wallClock.millis()).build().toByteString());
    }
}
