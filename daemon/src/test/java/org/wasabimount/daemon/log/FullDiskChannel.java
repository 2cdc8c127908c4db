package org.wasabimount.daemon.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** A file on a disk that can be full: it accepts some bytes of a write and then refuses all others. */
final class FullDiskChannel extends FileChannel {

    private final FileChannel channel;
    private long acceptedBytes = Long.MAX_VALUE;

    FullDiskChannel(Path path) throws IOException {
        channel = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
    }

    void fillUpAfter(long bytes) {
        acceptedBytes = bytes;
    }

    void empty() {
        acceptedBytes = Long.MAX_VALUE;
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        if (acceptedBytes == 0) {
            throw new IOException("No space left on device");
        }
        int length = (int) Math.min(acceptedBytes, source.remaining());
        int written = channel.write(source.slice(source.position(), length));
        source.position(source.position() + written);
        acceptedBytes -= acceptedBytes == Long.MAX_VALUE ? 0 : written;
        return written;
    }

    @Override
    public FileChannel truncate(long size) throws IOException {
        channel.truncate(size);
        return this;
    }

    @Override
    public FileChannel position(long newPosition) throws IOException {
        channel.position(newPosition);
        return this;
    }

    @Override
    public long position() throws IOException {
        return channel.position();
    }

    @Override
    public long size() throws IOException {
        return channel.size();
    }

    @Override
    public void force(boolean metaData) throws IOException {
        channel.force(metaData);
    }

    @Override
    protected void implCloseChannel() throws IOException {
        channel.close();
    }

    @Override
    public int read(ByteBuffer target) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) {
        throw new UnsupportedOperationException();
    }

    @Override
    public int read(ByteBuffer target, long position) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long write(ByteBuffer[] sources, int offset, int length) {
        throw new UnsupportedOperationException();
    }

    @Override
    public int write(ByteBuffer source, long position) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long transferTo(long position, long count, WritableByteChannel target) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long transferFrom(ReadableByteChannel source, long position, long count) {
        throw new UnsupportedOperationException();
    }

    @Override
    public MappedByteBuffer map(MapMode mode, long position, long size) {
        throw new UnsupportedOperationException();
    }

    @Override
    public FileLock lock(long position, long size, boolean shared) {
        throw new UnsupportedOperationException();
    }

    @Override
    public FileLock tryLock(long position, long size, boolean shared) {
        throw new UnsupportedOperationException();
    }
}
