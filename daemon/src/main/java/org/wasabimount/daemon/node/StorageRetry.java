package org.wasabimount.daemon.node;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import org.wasabimount.daemon.log.CorruptLogException;
import org.wasabimount.daemon.log.InvalidDataFolderException;

/** Repeats the first access to a disk that refuses it for a while: a node on a full disk waits instead of ending. */
final class StorageRetry {

    private static final System.Logger LOG = System.getLogger("wasabimount.node");

    /** Interval between two attempts, in milliseconds. */
    private static final long RETRY_MILLIS = 250;

    /** Time after which a disk is given up, in milliseconds; longer than a disk is full or stalled in an incident. */
    private static final long MAX_WAIT_MILLIS = 60_000;

    /** An access to the disk. */
    interface Access<T> {
        T run() throws IOException;
    }

    private StorageRetry() {}

    /**
     * Repeats an access until it succeeds.
     *
     * @param access the access
     * @return its result
     * @throws IOException if the data is corrupt or belongs to another VM, or the disk stays unavailable
     */
    static <T> T untilAvailable(Access<T> access) throws IOException {
        for (long waitedMillis = 0; ; waitedMillis += RETRY_MILLIS) {
            try {
                return access.run();
            } catch (CorruptLogException | InvalidDataFolderException e) {
                throw e;
            } catch (IOException e) {
                if (waitedMillis >= MAX_WAIT_MILLIS) {
                    throw e;
                }
                if (waitedMillis == 0) {
                    LOG.log(System.Logger.Level.WARNING, "NODE can't use its disk, trying again", e);
                }
                pause(e);
            }
        }
    }

    private static void pause(IOException cause) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw cause;
        }
    }
}
