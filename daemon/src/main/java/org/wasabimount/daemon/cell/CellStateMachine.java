package org.wasabimount.daemon.cell;

import java.util.function.Consumer;

import org.wasabimount.core.cell.CellState;
import org.wasabimount.daemon.log.StateMachine;
import org.wasabimount.protocol.cell.CellCommand;
import org.wasabimount.protocol.cell.CellSnapshot;
import org.wasabimount.protocol.cell.Reply;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

/** Applies the cell's log to the cell's state, and notifies a listener of each change of the directory. */
public final class CellStateMachine implements StateMachine {

    private final Consumer<Directory> directoryListener;
    private CellState state = new CellState();

    /**
     * Creates the state machine of an empty cell.
     *
     * @param directoryListener receives each new directory, on the group's thread
     */
    public CellStateMachine(Consumer<Directory> directoryListener) {
        this.directoryListener = directoryListener;
    }

    /**
     * Returns the state. Used on the group's thread only.
     *
     * @return the state
     */
    public CellState state() {
        return state;
    }

    @Override
    public Reply apply(ByteString bytes) throws InvalidProtocolBufferException {
        CellCommand command = CellCommand.parseFrom(bytes);
        Reply reply = state.apply(command);
        if (command.hasPutOrganisation() || command.hasPutConfiguration()) {
            directoryListener.accept(Directory.of(state));
        }
        return reply;
    }

    @Override
    public ByteString snapshot() {
        return state.snapshot().toByteString();
    }

    @Override
    public void restore(ByteString bytes) throws InvalidProtocolBufferException {
        state = CellState.restore(CellSnapshot.parseFrom(bytes));
        directoryListener.accept(Directory.of(state));
    }
}
