package org.wasabimount.daemon.log;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.wasabimount.core.log.PersistedLog;
import org.wasabimount.protocol.log.HardState;
import org.wasabimount.protocol.log.LogBatch;
import org.wasabimount.protocol.log.LogEntry;
import org.wasabimount.protocol.log.LogRecord;
import org.wasabimount.protocol.log.LogSnapshot;

/**
 * Stores one group's log in a folder: one snapshot file and one log file, both named by an increasing generation
 * number.
 *
 * <p>A new log file begins with all data of the previous files that is still valid, and is renamed to its final name
 * only after that data is synced. The files with the highest number are therefore complete, and older files are
 * obsolete.
 */
public final class FileLogStore implements LogStore {

    private static final String LOG_SUFFIX = ".log";
    private static final String SNAPSHOT_SUFFIX = ".snapshot";
    private static final String TEMPORARY_SUFFIX = ".tmp";

    private final Path folder;
    private long generation;
    private RecordFile file;

    /**
     * Creates a store.
     *
     * @param folder the group's folder, created if it does not exist
     * @throws IOException if the folder cannot be created
     */
    public FileLogStore(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
    }

    @Override
    public PersistedLog recover(LogSnapshot initialState) throws IOException {
        generation = highestGeneration();
        LogSnapshot snapshot = initialState;
        if (generation > 0) {
            Path snapshotPath = path(SNAPSHOT_SUFFIX);
            List<LogSnapshot> snapshots = new ArrayList<>();
            RecordFile.open(snapshotPath, record -> snapshots.add(LogSnapshot.parseFrom(record)))
                    .close();
            if (snapshots.size() != 1) {
                throw new CorruptLogException("file " + snapshotPath.getFileName() + " holds no readable snapshot");
            }
            snapshot = snapshots.get(0);
        } else {
            generation = 1;
            writeFiles(initialState, HardState.getDefaultInstance(), List.of());
        }
        Replay replay = new Replay();
        file = RecordFile.open(path(LOG_SUFFIX), replay);
        return new PersistedLog(replay.hardState, snapshot, replay.entries);
    }

    @Override
    public void append(Optional<HardState> hardState, List<LogEntry> entries) throws IOException {
        file.append(batch(hardState, entries).toByteArray());
    }

    @Override
    public void replace(LogSnapshot snapshot, HardState hardState, List<LogEntry> retainedEntries) throws IOException {
        long old = generation;
        RecordFile replaced = file;
        generation = old + 1;
        try {
            writeFiles(snapshot, hardState, retainedEntries);
            file = RecordFile.open(path(LOG_SUFFIX), record -> {});
        } catch (IOException e) {
            discardNewLog(e);
            generation = old;
            throw e;
        }
        replaced.close();
        Files.deleteIfExists(folder.resolve(old + LOG_SUFFIX));
        Files.deleteIfExists(folder.resolve(old + SNAPSHOT_SUFFIX));
    }

    /**
     * Removes the log of a generation that can't be used. The old one stays in use, and a restart must not find a newer
     * log without the records that follow.
     */
    private void discardNewLog(IOException cause) {
        try {
            Files.deleteIfExists(path(LOG_SUFFIX));
        } catch (IOException e) {
            cause.addSuppressed(e);
            throw new UncheckedIOException("an unusable log can't be removed", cause);
        }
    }

    private void writeFiles(LogSnapshot snapshot, HardState hardState, List<LogEntry> retainedEntries)
            throws IOException {
        writeSynced(path(SNAPSHOT_SUFFIX), snapshot.toByteArray());
        writeSynced(
                path(LOG_SUFFIX), batch(Optional.of(hardState), retainedEntries).toByteArray());
    }

    private void writeSynced(Path target, byte[] payload) throws IOException {
        Path temporary = target.resolveSibling(target.getFileName() + TEMPORARY_SUFFIX);
        Files.deleteIfExists(temporary);
        try (RecordFile record = RecordFile.open(temporary, earlier -> {})) {
            record.append(payload);
        }
        Files.move(temporary, target, StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    private static LogBatch batch(Optional<HardState> hardState, List<LogEntry> entries) {
        LogBatch.Builder batch = LogBatch.newBuilder();
        hardState.ifPresent(state -> batch.addRecords(LogRecord.newBuilder().setHardState(state)));
        entries.forEach(entry -> batch.addRecords(LogRecord.newBuilder().setEntry(entry)));
        return batch.build();
    }

    private long highestGeneration() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(path -> path.getFileName().toString())
                    .filter(name -> name.endsWith(LOG_SUFFIX))
                    .mapToLong(name -> Long.parseLong(name.substring(0, name.length() - LOG_SUFFIX.length())))
                    .max()
                    .orElse(0);
        }
    }

    private Path path(String suffix) {
        return folder.resolve(generation + suffix);
    }

    /** Restores the term, the vote and the entries from the batches of a log file. */
    private static final class Replay implements RecordFile.Visitor {

        private final List<LogEntry> entries = new ArrayList<>();
        private HardState hardState = HardState.getDefaultInstance();

        @Override
        public void visit(byte[] batch) throws IOException {
            for (LogRecord record : LogBatch.parseFrom(batch).getRecordsList()) {
                if (record.hasHardState()) {
                    hardState = record.getHardState();
                } else {
                    put(record.getEntry());
                }
            }
        }

        /** Adds an entry, which replaces any entry at its index and all later ones. */
        private void put(LogEntry entry) throws CorruptLogException {
            while (!entries.isEmpty() && entries.get(entries.size() - 1).getIndex() >= entry.getIndex()) {
                entries.remove(entries.size() - 1);
            }
            boolean gap = !entries.isEmpty() && entries.get(entries.size() - 1).getIndex() + 1 != entry.getIndex();
            if (gap) {
                throw new CorruptLogException("the log has a gap before index " + entry.getIndex());
            }
            entries.add(entry);
        }
    }
}
