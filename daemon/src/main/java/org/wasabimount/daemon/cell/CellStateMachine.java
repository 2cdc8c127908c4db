package org.wasabimount.daemon.cell;

import java.util.function.Consumer;

import org.wasabimount.core.cell.CellState;
import org.wasabimount.daemon.log.StateMachine;
import org.wasabimount.protocol.cell.CellCommand;
import org.wasabimount.protocol.cell.CellSnapshot;
import org.wasabimount.protocol.cell.Reply;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

/** The cell's state behind its log; tells the rest of the daemon when the directory changes. */
public final class CellStateMachine implements StateMachine {

    private final Consumer<Directory> directoryChanged;
    private CellState state = new CellState();

    /**
     * Creates an empty cell.
     *
     * @param directoryChanged told of each new directory, on the group's thread
     */
    public CellStateMachine(Consumer<Directory> directoryChanged) {
        this.directoryChanged = directoryChanged;
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
            directoryChanged.accept(Directory.of(state));
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
        directoryChanged.accept(Directory.of(state));
    }
}
