package org.wasabimount.daemon.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.Clock;
import org.wasabimount.core.log.ReplicaSettings;
import org.wasabimount.protocol.cell.Reply;
import org.wasabimount.protocol.log.LogMessage;
import org.wasabimount.protocol.log.LogSnapshot;
import org.wasabimount.protocol.log.Membership;

import com.google.protobuf.ByteString;

/** Tests when the thread of a group works although no task arrives. */
public class GroupThreadTest {

    private static final String SELF = "vm0/0";
    private static final long ELECTION_TIMEOUT_MILLIS = 400;
    private static final long MAX_INTERVAL_MILLIS = 20;
    private static final long TIMEOUT_SECONDS = 30;

    private final List<LogMessage> messages = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger batches = new AtomicInteger();
    private final AtomicReference<IOException> failure = new AtomicReference<>();
    private GroupThread thread;

    /** A state machine whose state is the number of its commands. */
    private static final class Counter implements StateMachine {

        private int count;

        @Override
        public Reply apply(ByteString command) {
            count++;
            return Reply.newBuilder().setDetail(Integer.toString(count)).build();
        }

        @Override
        public ByteString snapshot() {
            return ByteString.EMPTY;
        }

        @Override
        public void restore(ByteString state) {
            count = 0;
        }
    }

    private void start(String... voters) throws IOException {
        messages.clear();
        batches.set(0);
        failure.set(null);
        thread = new GroupThread(
                ReplicaSettings.of("group", SELF, ELECTION_TIMEOUT_MILLIS, 1),
                LogSnapshot.newBuilder()
                        .setMembership(Membership.newBuilder().addAllVoters(List.of(voters)))
                        .build(),
                new MemoryLogStore(),
                new Counter(),
                messages::add,
                failure::set,
                Clock.monotonic());
        thread.afterEachFlush(batches::incrementAndGet, MAX_INTERVAL_MILLIS);
        thread.start();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        thread.stop();
        assertEquals(failure.get(), null);
    }

    private static void pause(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
    }

    private void awaitLeadership() throws InterruptedException {
        for (int tries = 0; !thread.leading() && tries < TIMEOUT_SECONDS * 100; tries++) {
            pause(10);
        }
        assertTrue(thread.leading());
    }

    /** Guards against a wake-up of each control node every 20 ms, whether or not anything is due. */
    @Test
    public void replicaWithoutWorkSleeps() throws Exception {
        start("vm1/0", "vm2/0", "vm3/0");
        pause(2_500);
        assertTrue(batches.get() <= 3, batches + " batches");
    }

    @Test
    public void voterWithoutLeaderWakesForElectionsOnly() throws Exception {
        start(SELF, "vm1/0", "vm2/0");
        pause(2_500);
        int wakeUps = batches.get();
        assertTrue(wakeUps >= 2 && wakeUps <= 2_500 / ELECTION_TIMEOUT_MILLIS + 1, wakeUps + " batches");
        assertTrue(messages.stream().allMatch(LogMessage::hasVoteRequest));
        int maxWakeUps = wakeUps + 1;
        assertTrue(
                messages.size() >= 2 * wakeUps && messages.size() <= 2 * maxWakeUps,
                messages.size() + " messages, although each wake-up asks two voters");
    }

    @Test
    public void leaderWorksAtItsInterval() throws Exception {
        start(SELF);
        awaitLeadership();
        int before = batches.get();
        long startNanos = System.nanoTime();
        pause(2_000);
        long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        int count = batches.get() - before;
        assertTrue(count <= tookMillis / MAX_INTERVAL_MILLIS + 2, count + " batches in " + tookMillis + " ms");
        assertTrue(count >= 20, count + " batches in " + tookMillis + " ms");
    }

    @Test
    public void leaderSendsHeartbeatsWithoutTasks() throws Exception {
        start(SELF);
        awaitLeadership();
        thread.submit(() -> thread.replica()
                .changeMembership(
                        Membership.newBuilder()
                                .addVoters(SELF)
                                .addLearners("vm1/0")
                                .build(),
                        Clock.monotonic().millis()));
        pause(1_000);
        long heartbeats = messages.stream().filter(LogMessage::hasAppendRequest).count();
        assertTrue(heartbeats >= 4 && heartbeats <= 14, heartbeats + " append requests");
    }

    @Test
    public void commandProposedAfterFlushIsCommittedInTheSameBatch() throws Exception {
        start(SELF);
        awaitLeadership();
        AtomicReference<String> reply = new AtomicReference<>();
        AtomicInteger batchOfReply = new AtomicInteger();
        AtomicInteger batchOfCommand = new AtomicInteger();
        thread.submit(() -> {
            batchOfCommand.set(batches.get());
            thread.propose(ByteString.copyFromUtf8("command")).thenAccept(done -> {
                batchOfReply.set(batches.get());
                reply.set(done.getDetail());
            });
        });
        for (int tries = 0; reply.get() == null && tries < TIMEOUT_SECONDS * 100; tries++) {
            pause(10);
        }
        assertEquals(reply.get(), "1");
        assertEquals(batchOfReply.get(), batchOfCommand.get());
    }
}
