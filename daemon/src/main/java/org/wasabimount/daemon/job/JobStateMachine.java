package org.wasabimount.daemon.job;

import org.wasabimount.core.ResultCode;
import org.wasabimount.core.job.JobTable;
import org.wasabimount.daemon.log.StateMachine;
import org.wasabimount.protocol.cell.Reply;
import org.wasabimount.protocol.job.JobCommand;
import org.wasabimount.protocol.job.JobSnapshot;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;

/** Applies the log of the jobs' group to the job table. */
final class JobStateMachine implements StateMachine {

    private static final System.Logger LOG = System.getLogger("wasabimount.job");

    private JobTable table = new JobTable();

    /** Returns the current table; restoring a snapshot replaces it by another object. */
    JobTable table() {
        return table;
    }

    @Override
    public Reply apply(ByteString bytes) throws InvalidProtocolBufferException {
        JobCommand command = JobCommand.parseFrom(bytes);
        return Reply.newBuilder().setResultCode(apply(command).number()).build();
    }

    /** Applies a command; one that fails unexpectedly fails on every replica, and must not end one after the other. */
    private ResultCode apply(JobCommand command) {
        try {
            return table.apply(command);
        } catch (RuntimeException e) {
            LOG.log(System.Logger.Level.ERROR, "JOB command " + command.getBodyCase() + " failed, it is left out", e);
            return ResultCode.INTERNAL;
        }
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
