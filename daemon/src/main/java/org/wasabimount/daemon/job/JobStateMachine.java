package org.wasabimount.daemon.job;

import org.wasabimount.core.ResultCode;
import org.wasabimount.core.job.JobTable;
import org.wasabimount.daemon.log.StateMachine;
import org.wasabimount.protocol.cell.Reply;
import org.wasabimount.protocol.job.JobCommand;
import org.wasabimount.protocol.job.JobSnapshot;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

/** Applies the log of the jobs' group to its table. */
final class JobStateMachine implements StateMachine {

    private JobTable table = new JobTable();

    /** Returns the current table; a snapshot from the leader puts another in its place. */
    JobTable table() {
        return table;
    }

    @Override
    public Reply apply(ByteString bytes) throws InvalidProtocolBufferException {
        ResultCode code = table.apply(JobCommand.parseFrom(bytes));
        return Reply.newBuilder().setResultCode(code.number()).build();
    }

    @Override
    public ByteString snapshot() {
        return table.snapshot().toByteString();
    }

    @Override
    public void restore(ByteString bytes) throws InvalidProtocolBufferException {
        table = JobTable.restore(JobSnapshot.parseFrom(bytes));
    }
}
