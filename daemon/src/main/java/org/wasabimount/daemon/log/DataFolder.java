package org.wasabimount.daemon.log;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.UUID;

import org.wasabimount.core.VmId;
import org.wasabimount.core.log.ReplicaIdentity;

/**
 * The folder that holds all durable state of one VM.
 *
 * <p>It is created by an explicit command, so that a VM that lost its disk never votes under its former identity.
 */
public final class DataFolder {

    private static final String IDENTITY_FILE = "identity";

    private final Path path;

    /**
     * Creates an object for a data folder, which need not exist yet.
     *
     * @param path the path of the folder
     */
    public DataFolder(Path path) {
        this.path = path;
    }

    /**
     * Formats the folder for a VM.
     *
     * @param vm the VM
     * @param newCell true if the cell is being created, false for a VM that joins a cell or replaces another VM
     * @return the identity of the VM's replicas
     * @throws IOException if the folder is already formatted or cannot be written
     */
    public ReplicaIdentity format(VmId vm, boolean newCell) throws IOException {
        Files.createDirectories(path);
        Path file = path.resolve(IDENTITY_FILE);
        if (Files.exists(file)) {
            throw new InvalidDataFolderException("the data folder is already formatted: it holds an identity");
        }
        String generation = newCell
                ? ReplicaIdentity.FIRST_GENERATION
                : UUID.randomUUID().toString().substring(0, 8);
        ReplicaIdentity identity = new ReplicaIdentity(vm, generation);
        writeSynced(file, identity + "\n");
        return identity;
    }

    /**
     * Returns whether the folder holds an identity.
     *
     * @return false for a VM that starts for the first time or has lost its disk
     */
    public boolean isFormatted() {
        return Files.exists(path.resolve(IDENTITY_FILE));
    }

    /**
     * Reads the identity.
     *
     * @param vm the VM named in the settings
     * @return the identity
     * @throws IOException if the folder was not formatted, or was formatted for another VM
     */
    public ReplicaIdentity identity(VmId vm) throws IOException {
        Path file = path.resolve(IDENTITY_FILE);
        if (!Files.exists(file)) {
            throw new InvalidDataFolderException("the data folder is not formatted: run wasabimountd --format first");
        }
        ReplicaIdentity identity = ReplicaIdentity.parse(Files.readString(file).trim());
        if (!identity.vm().equals(vm)) {
            throw new InvalidDataFolderException("the data folder belongs to VM " + identity.vm() + ", not " + vm);
        }
        return identity;
    }

    /** Writes a file so that it is either complete or absent after a power loss. */
    private void writeSynced(Path file, String text) throws IOException {
        Path temporary = file.resolveSibling(IDENTITY_FILE + ".tmp");
        Files.writeString(temporary, text);
        try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.WRITE)) {
            channel.force(true);
        }
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel folder = FileChannel.open(path, StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    /**
     * Opens the store of a group.
     *
     * @param group the group's name
     * @return the store
     * @throws IOException if the group's folder cannot be created
     */
    public LogStore store(String group) throws IOException {
        return new FileLogStore(path.resolve(group));
    }
}
