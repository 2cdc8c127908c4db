package org.wasabimount.daemon.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Optional;

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

/** What a log on disk gives back after a crash at any byte. */
public class FileLogStoreTest {

    private static final LogSnapshot FIRST = LogSnapshot.newBuilder()
            .setMembership(Membership.newBuilder().addVoters("vm/0"))
            .build();

    private Path folder;

    @BeforeMethod
    public void makeFolder() throws IOException {
        folder = Files.createTempDirectory("wasabimount-log");
    }

    @AfterMethod
    public void removeFolder() throws IOException {
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).map(Path::toFile).forEach(java.io.File::delete);
        }
    }

    @Test
    public void givesBackWhatWasSynced() throws IOException {
        write(3);
        PersistedLog recovered = new FileLogStore(folder).recover(FIRST);
        assertEquals(recovered.hardState().getTerm(), 3);
        assertEquals(recovered.entries().size(), 3);
    }

    /** Replays dwd-panel trouble-1: a replica that had joined with an empty disk could not start again. */
    @Test
    public void givesBackFirstStateOfReplicaThatJoined() throws IOException {
        new FileLogStore(folder).recover(LogSnapshot.getDefaultInstance());
        PersistedLog recovered = new FileLogStore(folder).recover(LogSnapshot.getDefaultInstance());
        assertEquals(recovered.snapshot(), LogSnapshot.getDefaultInstance());
    }

    @Test
    public void zerosAreNoRecord() throws IOException {
        write(2);
        Files.write(log(), new byte[64], StandardOpenOption.APPEND);
        PersistedLog recovered = new FileLogStore(folder).recover(FIRST);
        assertEquals(recovered.entries().size(), 2);
    }

    @Test
    public void laterEntryReplacesAllFromItsIndex() throws IOException {
        FileLogStore store = write(3);
        store.append(Optional.empty(), List.of(entry(2, 9)));
        PersistedLog recovered = new FileLogStore(folder).recover(FIRST);
        assertEquals(recovered.entries(), List.of(entry(1, 1), entry(2, 9)));
    }

    @Test
    public void cutsTornTailAtEveryByte() throws IOException {
        write(2);
        byte[] whole = Files.readAllBytes(log());
        long afterTwo = whole.length;
        new FileLogStore(folder).recover(FIRST);
        FileLogStore store = new FileLogStore(folder);
        store.recover(FIRST);
        store.append(Optional.empty(), List.of(entry(3, 3)));
        byte[] withThird = Files.readAllBytes(log());
        for (int length = (int) afterTwo; length < withThird.length; length++) {
            Files.write(log(), java.util.Arrays.copyOf(withThird, length));
            assertEquals(new FileLogStore(folder).recover(FIRST).entries().size(), 2, "cut at byte " + length);
            assertEquals(Files.size(log()), afterTwo);
        }
    }

    @Test
    public void cutsTornTailWithLostMiddleBytes() throws IOException {
        write(2);
        byte[] whole = Files.readAllBytes(log());
        whole[whole.length - 3] ^= 1;
        Files.write(log(), whole);
        assertEquals(new FileLogStore(folder).recover(FIRST).entries().size(), 1);
    }

    @Test
    public void cutsTailOfZeros() throws IOException {
        write(2);
        byte[] whole = Files.readAllBytes(log());
        Files.write(log(), java.util.Arrays.copyOf(whole, whole.length + 4_096));
        assertEquals(new FileLogStore(folder).recover(FIRST).entries().size(), 2);
        assertEquals(Files.size(log()), whole.length);
    }

    @Test
    public void refusesCorruptMiddleAtEveryByte() throws IOException {
        write(2);
        byte[] whole = Files.readAllBytes(log());
        FileLogStore store = new FileLogStore(folder);
        store.recover(FIRST);
        store.append(Optional.empty(), List.of(entry(3, 3)));
        byte[] withThird = Files.readAllBytes(log());
        for (int position = 0; position < whole.length; position++) {
            byte[] corrupt = withThird.clone();
            corrupt[position] ^= 0x40;
            Files.write(log(), corrupt);
            assertThrows(CorruptLogException.class, () -> new FileLogStore(folder).recover(FIRST));
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
        PersistedLog recovered = new FileLogStore(folder).recover(FIRST);
        assertEquals(recovered.snapshot(), snapshot);
        assertEquals(recovered.hardState().getTerm(), 5);
        assertEquals(recovered.entries(), List.of(entry(3, 3), entry(4, 5)));
    }

    @Test
    public void crashBeforeNewLogHasItsNameKeepsOldLog() throws IOException {
        write(3);
        Files.write(folder.resolve("2.snapshot"), new byte[] {1, 2, 3});
        Files.write(folder.resolve("2.log.tmp"), new byte[] {1, 2, 3});
        assertEquals(new FileLogStore(folder).recover(FIRST).entries().size(), 3);
    }

    @Test
    public void refusesFolderThatWasNotFormatted() {
        assertThrows(IOException.class, () -> new DataFolder(folder).identity(new VmId("vm")));
    }

    @Test
    public void lostDiskComesBackWithAnotherIdentity() throws IOException {
        var first = new DataFolder(folder.resolve("a")).format(new VmId("vm"), true);
        var second = new DataFolder(folder.resolve("b")).format(new VmId("vm"), false);
        assertEquals(first.vm(), second.vm());
        assertEquals(first.equals(second), false);
    }

    @Test
    public void refusesToFormatFolderInUse() throws IOException {
        DataFolder data = new DataFolder(folder);
        data.format(new VmId("vm"), true);
        assertThrows(IOException.class, () -> data.format(new VmId("vm"), false));
    }

    private FileLogStore write(int count) throws IOException {
        FileLogStore store = new FileLogStore(folder);
        store.recover(FIRST);
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
