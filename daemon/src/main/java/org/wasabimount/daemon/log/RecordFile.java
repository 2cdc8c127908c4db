package org.wasabimount.daemon.log;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
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

    /** Size of one read or write; the Java runtime allocates a direct buffer of that size and keeps it for the thread. */
    private static final int CHUNK_BYTES = 128 << 10;

    private final FileChannel channel;

    /** The end of the last synced record. */
    private long end;

    /** Whether a write has failed, so that a part of a record may follow the last synced one. */
    private boolean incomplete;

    /** Receives the records of a file in the order in which they were appended. */
    @FunctionalInterface
    interface Visitor {
        void visit(byte[] payload) throws IOException;
    }

    RecordFile(FileChannel channel) {
        this.channel = channel;
    }

    /** Opens a file, passes each of its records to a visitor and truncates an incomplete last record. */
    static RecordFile open(Path path, Visitor visitor) throws IOException {
        FileChannel channel =
                FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        RecordFile file = new RecordFile(channel);
        try {
            file.recover(path, visitor);
        } catch (IOException | RuntimeException | Error e) {
            channel.close();
            throw e;
        }
        return file;
    }

    private void recover(Path path, Visitor visitor) throws IOException {
        Reader reader = new Reader(channel);
        byte[] payload = reader.record(0);
        while (payload != null) {
            visitor.visit(payload);
            end += HEADER_BYTES + payload.length;
            payload = reader.record(end);
        }
        if (end < reader.size) {
            failIfRecordFollows(path, reader);
            channel.truncate(end);
            channel.force(true);
        }
        channel.position(end);
    }

    private void failIfRecordFollows(Path path, Reader reader) throws IOException {
        for (long offset = end + 1; offset + HEADER_BYTES < reader.size; offset++) {
            if (reader.record(offset) != null) {
                throw new CorruptLogException("file " + path.getFileName() + " is corrupt at byte " + end
                        + ": a readable record follows at byte " + offset);
            }
        }
    }

    /** Writes and syncs one record; after a failure the same or another record may be appended. */
    void append(byte[] payload) throws IOException {
        if (incomplete) {
            channel.truncate(end);
            channel.position(end);
        }
        incomplete = true;
        if (payload.length < CHUNK_BYTES) {
            write(ByteBuffer.allocate(HEADER_BYTES + payload.length)
                    .put(header(payload))
                    .put(payload)
                    .flip());
        } else {
            write(header(payload));
            write(ByteBuffer.wrap(payload));
        }
        channel.force(false);
        end += HEADER_BYTES + payload.length;
        incomplete = false;
    }

    private void write(ByteBuffer buffer) throws IOException {
        int length = buffer.limit();
        while (buffer.position() < length) {
            buffer.limit(Math.min(length, buffer.position() + CHUNK_BYTES));
            channel.write(buffer);
        }
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }

    private static ByteBuffer header(byte[] payload) {
        return ByteBuffer.allocate(HEADER_BYTES)
                .putInt(payload.length)
                .putInt(checksum(payload))
                .flip();
    }

    /** Returns a checksum of the payload and its length; without the length, zeros would be a valid empty record. */
    private static int checksum(byte[] payload) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(payload.length).flip());
        crc.update(payload);
        return (int) crc.getValue();
    }

    /** Reads records at any offset of a file, through a buffer of {@link #CHUNK_BYTES}. */
    private static final class Reader {

        private final FileChannel channel;
        private final long size;
        private final ByteBuffer buffer = ByteBuffer.allocate(CHUNK_BYTES).limit(0);
        private final ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);

        /** Offset in the file of the buffer's first byte. */
        private long bufferOffset;

        Reader(FileChannel channel) throws IOException {
            this.channel = channel;
            this.size = channel.size();
        }

        /** Returns the payload of the valid record at an offset, null if there is none. */
        byte[] record(long offset) throws IOException {
            if (size - offset < HEADER_BYTES) {
                return null;
            }
            read(offset, header.array());
            int length = header.getInt(0);
            boolean plausible = length >= 0 && length <= MAX_RECORD_BYTES && length <= size - offset - HEADER_BYTES;
            if (!plausible) {
                return null;
            }
            byte[] payload = new byte[length];
            read(offset + HEADER_BYTES, payload);
            return checksum(payload) == header.getInt(Integer.BYTES) ? payload : null;
        }

        private void read(long offset, byte[] target) throws IOException {
            int count = 0;
            while (count < target.length) {
                long position = offset + count;
                if (position < bufferOffset || position >= bufferOffset + buffer.limit()) {
                    fill(position);
                }
                buffer.position((int) (position - bufferOffset));
                int available = Math.min(target.length - count, buffer.remaining());
                buffer.get(target, count, available);
                count += available;
            }
        }

        private void fill(long position) throws IOException {
            buffer.clear();
            int count = channel.read(buffer, position);
            buffer.flip();
            bufferOffset = position;
            if (count <= 0) {
                throw new EOFException("a log file has shrunk while it was read");
            }
        }
    }
}
