package org.wasabimount.daemon.log;

import org.wasabimount.protocol.cell.Reply;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

/** What a group's log is applied to. Called on the group's thread only. */
public interface StateMachine {

    /**
     * Applies a committed command.
     *
     * @param command the command's bytes
     * @return the reply for the command's sender
     * @throws InvalidProtocolBufferException if the bytes are no command
     */
    Reply apply(ByteString command) throws InvalidProtocolBufferException;

    /**
     * Writes the whole state.
     *
     * @return the state's bytes
     */
    ByteString snapshot();

    /**
     * Replaces the whole state.
     *
     * @param state bytes that {@link #snapshot} wrote, or none for the first state
     * @throws InvalidProtocolBufferException if the bytes are no state
     */
    void restore(ByteString state) throws InvalidProtocolBufferException;
}
