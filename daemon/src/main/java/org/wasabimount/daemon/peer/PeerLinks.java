package org.wasabimount.daemon.peer;

import java.net.InetSocketAddress;

import org.wasabimount.core.VmId;
import org.wasabimount.protocol.peer.Envelope;

/** The outgoing links of a node to its peers. */
public interface PeerLinks {

    /**
     * Connects to another node, and reconnects whenever the connection is lost.
     *
     * @param vm the other VM
     * @param address the address on which it accepts connections
     */
    void connect(VmId vm, InetSocketAddress address);

    /**
     * Closes the link to another node, without reconnecting.
     *
     * @param vm the other VM
     */
    void disconnect(VmId vm);

    /**
     * Closes the connection to another node and opens a new one; called when frames on it do not arrive.
     *
     * @param vm the other VM
     */
    void reconnect(VmId vm);

    /**
     * Sends a frame, or drops it if the link is down or the frame is longer than peers accept.
     *
     * @param to the other VM
     * @param frame the frame; this method sets its sender
     * @return false if the frame was certainly not sent
     */
    boolean send(VmId to, Envelope.Builder frame);
}
