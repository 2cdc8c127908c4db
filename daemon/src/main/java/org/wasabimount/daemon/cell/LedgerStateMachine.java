package org.wasabimount.daemon.cell;

import org.wasabimount.core.ledger.Ledger;
import org.wasabimount.daemon.log.StateMachine;
import org.wasabimount.protocol.cell.LedgerCommand;
import org.wasabimount.protocol.cell.LedgerSnapshot;
import org.wasabimount.protocol.cell.Reply;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

/** A domain's ledger behind its log. */
public final class LedgerStateMachine implements StateMachine {

    private Ledger ledger = new Ledger(Ledger.RETENTION_MILLIS);

    /**
     * Returns how many keys the ledger holds. Used on the group's thread only.
     *
     * @return the count
     */
    public int size() {
        return ledger.size();
    }

    @Override
    public Reply apply(ByteString command) throws InvalidProtocolBufferException {
        return ledger.apply(LedgerCommand.parseFrom(command));
    }

    @Override
    public ByteString snapshot() {
        return ledger.snapshot().toByteString();
    }

    @Override
    public void restore(ByteString state) throws InvalidProtocolBufferException {
        ledger = Ledger.restore(LedgerSnapshot.parseFrom(state), Ledger.RETENTION_MILLIS);
    }
}
