package org.wasabimount.daemon.cell;

import java.util.concurrent.CompletableFuture;

import org.wasabimount.core.Clock;
import org.wasabimount.daemon.log.GroupThread;
import org.wasabimount.protocol.cell.LedgerCommand;
import org.wasabimount.protocol.cell.Reply;

/** What a ledger's leader does: it puts commands into the log with its own time. */
public final class LedgerLeader {

    private final GroupThread group;
    private final Clock clock;
    private final Clock wallClock;

    /**
     * Creates the duties.
     *
     * @param group the ledger's group
     * @param clock monotonic time
     * @param wallClock time of day
     */
    public LedgerLeader(GroupThread group, Clock clock, Clock wallClock) {
        this.group = group;
        this.clock = clock;
        this.wallClock = wallClock;
    }

    /**
     * Carries out a command. Called on the group's thread.
     *
     * @param command the command; its time is filled in
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
