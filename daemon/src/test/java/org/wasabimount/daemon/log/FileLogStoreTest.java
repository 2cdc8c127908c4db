package org.wasabimount.daemon.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.VmId;
import org.wasabimount.core.log.PersistedLog;
import org.wasabimount.protocol.log.HardState;
import org.wasabimount.protocol.log.LogEntry;
import org.wasabimount.protocol.log.LogSnapshot;
import org.wasabimount.protocol.log.Membership;

import com.google.protobuf.ByteString;

/** Checks what is recovered from the log and the data folder on disk, also after a crash during a write. */
public class FileLogStoreTest {

    private static final LogSnapshot INITIAL_STATE = LogSnapshot.newBuilder()
            .setMembership(Membership.newBuilder().addVoters("vm/0"))
            .build();

    private static final int LARGE_ENTRY_BYTES = 4 << 20;

    /** The buffers of one read and one write. */
    private static final long MAX_DIRECT_BYTES = 1 << 20;

    private Path folder;

    @BeforeMethod
    public void createFolder() throws IOException {
        folder = Files.createTempDirectory("wasabimount-log");
    }

    @AfterMethod
    public void deleteFolder() throws IOException {
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).map(Path::toFile).forEach(java.io.File::delete);
        }
    }

    @Test
    public void recoversSyncedState() throws IOException {
        write(3);
        PersistedLog recovered = new FileLogStore(folder).recover(INITIAL_STATE);
        assertEquals(recovered.hardState().getTerm(), 3);
        assertEquals(recovered.entries().size(), 3);
    }

    /**
     * Guards against a replica that joined with an empty disk and cannot restart (seen in dwd-panel trouble-1). The
     * snapshot that it writes first has no bytes.
     */
    @Test
    public void recoversInitialStateOfReplicaThatJoined() throws IOException {
        new FileLogStore(folder).recover(LogSnapshot.getDefaultInstance());
        PersistedLog recovered = new FileLogStore(folder).recover(LogSnapshot.getDefaultInstance());
        assertEquals(recovered.snapshot(), LogSnapshot.getDefaultInstance());
    }

    @Test
    public void zerosAreNotARecord() throws IOException {
        write(2);
        Files.write(log(), new byte[64], StandardOpenOption.APPEND);
        PersistedLog recovered = new FileLogStore(folder).recover(INITIAL_STATE);
        assertEquals(recovered.entries().size(), 2);
    }

    @Test
    public void laterEntryReplacesAllFromItsIndex() throws IOException {
        FileLogStore store = write(3);
        store.append(Optional.empty(), List.of(entry(2, 9)));
        PersistedLog recovered = new FileLogStore(folder).recover(INITIAL_STATE);
        assertEquals(recovered.entries(), List.of(entry(1, 1), entry(2, 9)));
    }

    @Test
    public void truncatesRecordCutAtAnyByte() throws IOException {
        write(2);
        byte[] content = Files.readAllBytes(log());
        long lengthOfTwo = content.length;
        new FileLogStore(folder).recover(INITIAL_STATE);
        FileLogStore store = new FileLogStore(folder);
        store.recover(INITIAL_STATE);
        store.append(Optional.empty(), List.of(entry(3, 3)));
        byte[] withThird = Files.readAllBytes(log());
        for (int length = (int) lengthOfTwo; length < withThird.length; length++) {
            Files.write(log(), java.util.Arrays.copyOf(withThird, length));
            assertEquals(
                    new FileLogStore(folder).recover(INITIAL_STATE).entries().size(), 2, "cut at byte " + length);
            assertEquals(Files.size(log()), lengthOfTwo);
        }
    }

    @Test
    public void truncatesLastRecordWithCorruptByte() throws IOException {
        write(2);
        byte[] content = Files.readAllBytes(log());
        content[content.length - 3] ^= 1;
        Files.write(log(), content);
        assertEquals(new FileLogStore(folder).recover(INITIAL_STATE).entries().size(), 1);
    }

    @Test
    public void truncatesTrailingZeros() throws IOException {
        write(2);
        byte[] content = Files.readAllBytes(log());
        Files.write(log(), java.util.Arrays.copyOf(content, content.length + 4_096));
        assertEquals(new FileLogStore(folder).recover(INITIAL_STATE).entries().size(), 2);
        assertEquals(Files.size(log()), content.length);
    }

    @Test
    public void rejectsCorruptionBeforeReadableRecordAtEveryByte() throws IOException {
        write(2);
        byte[] content = Files.readAllBytes(log());
        FileLogStore store = new FileLogStore(folder);
        store.recover(INITIAL_STATE);
        store.append(Optional.empty(), List.of(entry(3, 3)));
        byte[] withThird = Files.readAllBytes(log());
        for (int position = 0; position < content.length; position++) {
            byte[] corrupt = withThird.clone();
            corrupt[position] ^= 0x40;
            Files.write(log(), corrupt);
            assertThrows(CorruptLogException.class, () -> new FileLogStore(folder).recover(INITIAL_STATE));
        }
    }

    @Test
    public void snapshotReplacesLog() throws IOException {
        FileLogStore store = write(3);
        LogSnapshot snapshot = LogSnapshot.newBuilder()
                .setIndex(2)
                .setTerm(2)
                .setState(ByteString.copyFromUtf8("state"))
                .build();
        store.replace(snapshot, HardState.newBuilder().setTerm(5).build(), List.of(entry(3, 3)));
        store.append(Optional.empty(), List.of(entry(4, 5)));
        PersistedLog recovered = new FileLogStore(folder).recover(INITIAL_STATE);
        assertEquals(recovered.snapshot(), snapshot);
        assertEquals(recovered.hardState().getTerm(), 5);
        assertEquals(recovered.entries(), List.of(entry(3, 3), entry(4, 5)));
    }

    @Test
    public void crashBeforeNewLogIsRenamedKeepsOldLog() throws IOException {
        write(3);
        Files.write(folder.resolve("2.snapshot"), new byte[] {1, 2, 3});
        Files.write(folder.resolve("2.log.tmp"), new byte[] {1, 2, 3});
        assertEquals(new FileLogStore(folder).recover(INITIAL_STATE).entries().size(), 3);
    }

    /** Guards against half a record before the next one after a write to a full disk has failed. */
    @Test
    public void recordFollowsWriteThatFailed() throws IOException {
        Path path = folder.resolve("records");
        try (FullDiskChannel channel = new FullDiskChannel(path);
                RecordFile file = new RecordFile(channel)) {
            file.append(new byte[] {1});
            for (int acceptedBytes = 0; acceptedBytes < 9; acceptedBytes++) {
                channel.fillUpAfter(acceptedBytes);
                assertThrows(IOException.class, () -> file.append(new byte[] {2, 2, 2}));
            }
            channel.empty();
            file.append(new byte[] {3});
        }
        List<Integer> records = new ArrayList<>();
        RecordFile.open(path, record -> records.add((int) record[0])).close();
        assertEquals(records, List.of(1, 3));
    }

    /** Guards against a log that can't be appended to after its replacement has failed. */
    @Test
    public void keepsLogWhoseReplacementFailed() throws IOException {
        FileLogStore store = write(3);
        // A folder at the place of the temporary file makes every attempt to write it fail.
        Path obstacle = Files.createDirectories(folder.resolve("2.log.tmp").resolve("obstacle"));
        HardState hardState = HardState.newBuilder().setTerm(5).build();
        LogSnapshot snapshot = LogSnapshot.newBuilder().setIndex(3).setTerm(3).build();
        assertThrows(IOException.class, () -> store.replace(snapshot, hardState, List.of()));
        store.append(Optional.empty(), List.of(entry(4, 5)));
        assertEquals(new FileLogStore(folder).recover(INITIAL_STATE).entries().size(), 4);
        Files.delete(obstacle);
        Files.delete(obstacle.getParent());
        store.replace(snapshot, hardState, List.of(entry(4, 5)));
        assertEquals(new FileLogStore(folder).recover(INITIAL_STATE).entries(), List.of(entry(4, 5)));
    }

    /** Guards against a log that can't be opened because a direct buffer of its size exceeds their limit. */
    @Test
    public void recoversLargeLogWithSmallDirectBuffers() throws Exception {
        FileLogStore store = new FileLogStore(folder);
        store.recover(INITIAL_STATE);
        long grownBytes = directBytesTakenBy(() -> {
            for (int index = 1; index <= 4; index++) {
                store.append(Optional.empty(), List.of(largeEntry(index)));
            }
            assertEquals(
                    new FileLogStore(folder).recover(INITIAL_STATE).entries().size(), 4);
        });
        assertTrue(grownBytes <= MAX_DIRECT_BYTES, grownBytes + " bytes of direct buffers");
    }

    /** Guards against the same for a snapshot, which is one record. */
    @Test
    public void replacesLogByLargeSnapshotWithSmallDirectBuffers() throws Exception {
        FileLogStore store = write(3);
        LogSnapshot snapshot = LogSnapshot.newBuilder()
                .setIndex(3)
                .setTerm(3)
                .setState(ByteString.copyFrom(new byte[LARGE_ENTRY_BYTES]))
                .build();
        long grownBytes = directBytesTakenBy(() -> {
            store.replace(snapshot, HardState.getDefaultInstance(), List.of());
            assertEquals(new FileLogStore(folder).recover(INITIAL_STATE).snapshot(), snapshot);
        });
        assertTrue(grownBytes <= MAX_DIRECT_BYTES, grownBytes + " bytes of direct buffers");
    }

    /** An access to the store. */
    private interface Access {
        void run() throws IOException;
    }

    /** Returns by how much an access on a thread of its own lets the direct buffers grow; threads keep theirs. */
    private static long directBytesTakenBy(Access access) throws Exception {
        BufferPoolMXBean pool = ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                .filter(candidate -> candidate.getName().equals("direct"))
                .findFirst()
                .orElseThrow();
        CompletableFuture<Long> grownBytes = new CompletableFuture<>();
        new Thread(() -> {
                    long before = pool.getTotalCapacity();
                    try {
                        access.run();
                        grownBytes.complete(pool.getTotalCapacity() - before);
                    } catch (IOException | AssertionError e) {
                        grownBytes.completeExceptionally(e);
                    }
                })
                .start();
        return grownBytes.get(30, TimeUnit.SECONDS);
    }

    private static LogEntry largeEntry(long index) {
        return entry(index, 1).toBuilder()
                .setData(ByteString.copyFrom(new byte[LARGE_ENTRY_BYTES]))
                .build();
    }

    @Test
    public void rejectsUnformattedFolder() {
        assertThrows(IOException.class, () -> new DataFolder(folder).identity(new VmId("vm")));
    }

    @Test
    public void reformattedVmHasAnotherIdentity() throws IOException {
        var first = new DataFolder(folder.resolve("a")).format(new VmId("vm"), true);
        var second = new DataFolder(folder.resolve("b")).format(new VmId("vm"), false);
        assertEquals(first.vm(), second.vm());
        assertEquals(first.equals(second), false);
    }

    @Test
    public void rejectsFormattingOfFormattedFolder() throws IOException {
        DataFolder data = new DataFolder(folder);
        data.format(new VmId("vm"), true);
        assertThrows(IOException.class, () -> data.format(new VmId("vm"), false));
    }

    private FileLogStore write(int count) throws IOException {
        FileLogStore store = new FileLogStore(folder);
        store.recover(INITIAL_STATE);
        for (int index = 1; index <= count; index++) {
            HardState hardState = HardState.newBuilder().setTerm(index).build();
            store.append(Optional.of(hardState), List.of(entry(index, index)));
        }
        return store;
    }

    private Path log() {
        return folder.resolve("1.log");
    }

    private static LogEntry entry(long index, long term) {
        return LogEntry.newBuilder()
                .setIndex(index)
                .setTerm(term)
                .setKind(LogEntry.Kind.COMMAND)
                .setData(ByteString.copyFromUtf8("command " + index))
                .build();
    }
}
