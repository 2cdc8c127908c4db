package org.wasabimount.daemon.log;

import org.wasabimount.protocol.cell.Reply;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

/** The state machine to which a group's log is applied. Called on the group's thread only. */
public interface StateMachine {

    /**
     * Applies a committed command.
     *
     * @param command the command's bytes
     * @return the reply for the command's sender
     * @throws InvalidProtocolBufferException if the bytes are not a valid command
     */
    Reply apply(ByteString command) throws InvalidProtocolBufferException;

    /**
     * Serialises the whole state.
     *
     * @return the bytes of the state
     */
    ByteString snapshot();

    /**
     * Replaces the whole state.
     *
     * @param state bytes returned by {@link #snapshot}, or no bytes for the initial state
     * @throws InvalidProtocolBufferException if the bytes are not a valid state
     */
    void restore(ByteString state) throws InvalidProtocolBufferException;
}
