package org.wasabimount.daemon.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * An append-only file of records, each with its length and a CRC-32C checksum.
 *
 * <p>Each record is synced before the next one is written, so only the last record can be incomplete after a crash. An
 * unreadable record that is followed by a readable one means corruption, and the file is rejected.
 */
final class RecordFile implements AutoCloseable {

    private static final int HEADER_BYTES = 8;
    private static final int MAX_RECORD_BYTES = 1 << 28;

    private final FileChannel channel;
    private List<byte[]> recovered = new ArrayList<>();

    /** The end of the last synced record. */
    private long end;

    /** Whether a write has failed, so that a part of a record may follow the last synced one. */
    private boolean incomplete;

    RecordFile(FileChannel channel) {
        this.channel = channel;
    }

    /** Opens a file, reads all records and truncates an incomplete last record. */
    static RecordFile open(Path path) throws IOException {
        byte[] content = Files.exists(path) ? Files.readAllBytes(path) : new byte[0];
        FileChannel channel =
                FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        RecordFile file = new RecordFile(channel);
        file.end = file.readAll(path, content);
        if (file.end < content.length) {
            channel.truncate(file.end);
            channel.force(true);
        }
        channel.position(file.end);
        return file;
    }

    /** Returns the records read when the file was opened, and releases them. */
    List<byte[]> takeRecovered() {
        List<byte[]> taken = recovered;
        recovered = List.of();
        return taken;
    }

    List<byte[]> closeAndTakeRecovered() throws IOException {
        close();
        return takeRecovered();
    }

    /** Writes and syncs one record; after a failure the same or another record may be appended. */
    void append(byte[] payload) throws IOException {
        if (incomplete) {
            channel.truncate(end);
            channel.position(end);
        }
        incomplete = true;
        ByteBuffer buffer = frame(payload);
        long length = buffer.remaining();
        while (buffer.hasRemaining()) {
            channel.write(buffer);
        }
        channel.force(false);
        end += length;
        incomplete = false;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }

    static ByteBuffer frame(byte[] payload) {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        buffer.putInt(payload.length)
                .putInt(checksum(payload, 0, payload.length))
                .put(payload);
        return buffer.flip();
    }

    private int readAll(Path path, byte[] content) throws IOException {
        int offset = 0;
        while (offset < content.length) {
            int length = validLength(content, offset);
            if (length < 0) {
                failIfRecordFollows(path, content, offset);
                return offset;
            }
            byte[] payload = new byte[length];
            System.arraycopy(content, offset + HEADER_BYTES, payload, 0, length);
            recovered.add(payload);
            offset += HEADER_BYTES + length;
        }
        return offset;
    }

    private static void failIfRecordFollows(Path path, byte[] content, int badOffset) throws IOException {
        for (int offset = badOffset + 1; offset + HEADER_BYTES < content.length; offset++) {
            if (validLength(content, offset) >= 0) {
                throw new CorruptLogException("file " + path.getFileName() + " is corrupt at byte " + badOffset
                        + ": a readable record follows at byte " + offset);
            }
        }
    }

    /** Returns the payload length of the valid record at an offset, or -1 if there is none. */
    private static int validLength(byte[] content, int offset) {
        if (content.length - offset < HEADER_BYTES) {
            return -1;
        }
        ByteBuffer header = ByteBuffer.wrap(content, offset, HEADER_BYTES);
        int length = header.getInt();
        int expected = header.getInt();
        boolean plausible =
                length >= 0 && length <= MAX_RECORD_BYTES && length <= content.length - offset - HEADER_BYTES;
        return plausible && checksum(content, offset + HEADER_BYTES, length) == expected ? length : -1;
    }

    /** Returns a checksum of the payload and its length; without the length, zeros would be a valid empty record. */
    private static int checksum(byte[] bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).flip());
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }
}
