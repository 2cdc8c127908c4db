package org.wasabimount.client;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;

import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Opens connections on an I/O thread and keeps the latest attempt, so that it can be cancelled.
 *
 * <p>Undertow's client opens a connection through the I/O thread that it is given and returns nothing that cancels the
 * attempt. This object is passed to it instead of the thread; it is never started.
 */
final class ConnectionOpener extends XnioIoThread {

    private final XnioIoThread thread;
    private IoFuture<StreamConnection> latestAttempt;

    ConnectionOpener(XnioIoThread thread) {
        super(thread.getWorker(), thread.getNumber());
        this.thread = thread;
    }

    XnioIoThread thread() {
        return thread;
    }

    /** Returns the attempt that was made last. Called on the I/O thread only, as are the attempts. */
    IoFuture<StreamConnection> latestAttempt() {
        return latestAttempt;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination, ChannelListener<? super StreamConnection> openListener, OptionMap options) {
        latestAttempt = thread.openStreamConnection(destination, openListener, options);
        return latestAttempt;
    }

    @Override
    public void execute(Runnable command) {
        thread.execute(command);
    }

    @Override
    public Key executeAfter(Runnable command, long time, TimeUnit unit) {
        return thread.executeAfter(command, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
        return thread.executeAtInterval(command, time, unit);
    }
}
