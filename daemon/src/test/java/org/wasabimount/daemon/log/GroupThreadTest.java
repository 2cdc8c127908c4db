package org.wasabimount.daemon.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.Clock;
import org.wasabimount.core.log.PersistedLog;
import org.wasabimount.core.log.ReplicaSettings;
import org.wasabimount.protocol.cell.Reply;
import org.wasabimount.protocol.log.HardState;
import org.wasabimount.protocol.log.LogEntry;
import org.wasabimount.protocol.log.LogMessage;
import org.wasabimount.protocol.log.LogSnapshot;
import org.wasabimount.protocol.log.Membership;
import org.wasabimount.protocol.log.VoteRequest;

import com.google.protobuf.ByteString;

/** Tests when the thread of a group works although no task arrives. */
public class GroupThreadTest {

    private static final String SELF = "vm0/0";
    private static final long ELECTION_TIMEOUT_MILLIS = 400;
    private static final long MAX_INTERVAL_MILLIS = 20;
    private static final long TIMEOUT_SECONDS = 30;

    /** A configuration of the largest size that the platform sends. */
    private static final int LARGE_COMMAND_BYTES = 262_144;

    /** A tenth of the heap of a control node. */
    private static final long MAX_LOG_BYTES = 16 << 20;

    private final List<LogMessage> messages = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger batches = new AtomicInteger();
    private final AtomicReference<IOException> failure = new AtomicReference<>();
    private final FailingStore store = new FailingStore();
    private final Counter counter = new Counter();
    private GroupThread thread;

    /** A store on a disk that can refuse all writes. */
    private static final class FailingStore implements LogStore {

        private final AtomicInteger failures = new AtomicInteger();
        private volatile boolean full;
        private volatile boolean refusesSnapshots;

        @Override
        public PersistedLog recover(LogSnapshot initialState) {
            return new MemoryLogStore().recover(initialState);
        }

        @Override
        public void append(Optional<HardState> hardState, List<LogEntry> entries) throws IOException {
            write();
        }

        @Override
        public void replace(LogSnapshot snapshot, HardState hardState, List<LogEntry> retainedEntries)
                throws IOException {
            if (refusesSnapshots) {
                failures.incrementAndGet();
                throw new IOException("No space left on device");
            }
            write();
        }

        private void write() throws IOException {
            if (full) {
                failures.incrementAndGet();
                throw new IOException("No space left on device");
            }
        }
    }

    /** A state machine whose state is the number of its commands. */
    private static final class Counter implements StateMachine {

        private int count;
        private volatile boolean exhaustsHeap;

        @Override
        public Reply apply(ByteString command) {
            if (exhaustsHeap) {
                throw new OutOfMemoryError("thrown by the test");
            }
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
        store.full = false;
        store.refusesSnapshots = false;
        store.failures.set(0);
        start(store, voters);
    }

    private void start(LogStore logStore, String... voters) throws IOException {
        messages.clear();
        batches.set(0);
        failure.set(null);
        counter.exhaustsHeap = false;
        thread = new GroupThread(
                ReplicaSettings.of("group", SELF, ELECTION_TIMEOUT_MILLIS, 1),
                LogSnapshot.newBuilder()
                        .setMembership(Membership.newBuilder().addAllVoters(List.of(voters)))
                        .build(),
                logStore,
                counter,
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

    /**
     * Guards against a process that ends because its disk is full (seen in hanbit-dossier trouble-1): it ends again after
     * each restart.
     */
    @Test
    public void leaderWithFullDiskAcknowledgesNothingAndLeadsAgainLater() throws Exception {
        start(SELF);
        awaitLeadership();
        store.full = true;
        List<Reply> replies = Collections.synchronizedList(new ArrayList<>());
        thread.submit(() -> thread.propose(ByteString.copyFromUtf8("command")).thenAccept(replies::add));
        pause(1_000);
        assertTrue(replies.stream().noneMatch(reply -> reply.getResultCode() == 0), "acknowledged without a write");
        assertTrue(store.failures.get() >= 2 && store.failures.get() <= 12, store.failures + " attempts to write");
        store.full = false;
        replies.clear();
        for (int tries = 0;
                replies.stream().noneMatch(reply -> reply.getResultCode() == 0) && tries < TIMEOUT_SECONDS * 10;
                tries++) {
            thread.submit(
                    () -> thread.propose(ByteString.copyFromUtf8("command")).thenAccept(replies::add));
            pause(100);
        }
        assertTrue(replies.stream().anyMatch(reply -> reply.getResultCode() == 0), "no command was committed");
        assertEquals(thread.writeFailureCount(), store.failures.get());
    }

    /** Guards against votes and acknowledgements of a replica that could not write what they promise. */
    @Test
    public void replicaWithFullDiskSendsNothing() throws Exception {
        start(SELF, "vm1/0", "vm2/0");
        store.full = true;
        pause(ELECTION_TIMEOUT_MILLIS);
        messages.clear();
        thread.receive(LogMessage.newBuilder()
                .setGroup("group")
                .setFrom("vm1/0")
                .setTo(SELF)
                .setTerm(100)
                .setVoteRequest(VoteRequest.newBuilder().setLeadershipTransfer(true))
                .build());
        pause(3 * ELECTION_TIMEOUT_MILLIS);
        assertTrue(messages.stream().noneMatch(message -> message.hasVoteReply()), messages.toString());
        assertTrue(thread.writeFailureCount() > 0);
        store.full = false;
    }

    /** Guards against a full disk during a snapshot that ends the process or stops the group. */
    @Test
    public void snapshotThatCannotBeWrittenDoesNotStopGroup() throws Exception {
        start(SELF);
        awaitLeadership();
        int commands = 10_000;
        AtomicInteger replies = new AtomicInteger();
        store.refusesSnapshots = true;
        thread.submit(() -> {
            for (int command = 0; command < commands; command++) {
                thread.propose(ByteString.copyFromUtf8("command")).thenAccept(done -> replies.incrementAndGet());
            }
        });
        for (int tries = 0;
                (replies.get() < commands || store.failures.get() == 0) && tries < TIMEOUT_SECONDS * 100;
                tries++) {
            pause(10);
        }
        assertEquals(replies.get(), commands);
        assertTrue(store.failures.get() >= 1, "no snapshot was attempted");
    }

    /** Guards against a log of hundreds of large configurations that no replica can read at its restart. */
    @Test
    public void logOfLargeCommandsIsCompacted() throws Exception {
        Path folder = Files.createTempDirectory("wasabimount-group");
        try {
            start(new FileLogStore(folder), SELF);
            awaitLeadership();
            ByteString command = ByteString.copyFrom(new byte[LARGE_COMMAND_BYTES]);
            for (int number = 0; number < 200; number++) {
                CompletableFuture<Reply> reply = new CompletableFuture<>();
                thread.submit(() -> thread.propose(command).thenAccept(reply::complete));
                assertEquals(reply.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).getResultCode(), 0);
            }
            // A compaction that the last command has caused precedes the next task.
            CompletableFuture<Void> compacted = new CompletableFuture<>();
            thread.submit(() -> compacted.complete(null));
            compacted.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertTrue(size(folder) <= MAX_LOG_BYTES, size(folder) + " bytes on disk");
        } finally {
            delete(folder);
        }
    }

    /** Guards against a process that stays up after its group's thread has ended, and answers nothing. */
    @Test
    public void errorOnGroupThreadIsReportedAsFatal() throws Exception {
        start(SELF);
        awaitLeadership();
        counter.exhaustsHeap = true;
        thread.submit(() -> thread.propose(ByteString.copyFromUtf8("command")));
        for (int tries = 0; failure.get() == null && tries < TIMEOUT_SECONDS * 100; tries++) {
            pause(10);
        }
        assertNotNull(failure.get(), "the error was not reported");
        assertEquals(failure.getAndSet(null).getCause().getClass(), OutOfMemoryError.class);
        counter.exhaustsHeap = false;
    }

    private static long size(Path folder) throws IOException {
        try (var files = Files.walk(folder)) {
            return files.map(Path::toFile)
                    .filter(File::isFile)
                    .mapToLong(File::length)
                    .sum();
        }
    }

    private static void delete(Path folder) throws IOException {
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }
}
