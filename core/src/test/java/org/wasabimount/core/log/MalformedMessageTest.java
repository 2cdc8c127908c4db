package org.wasabimount.core.log;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import org.wasabimount.protocol.log.AppendReply;
import org.wasabimount.protocol.log.AppendRequest;
import org.wasabimount.protocol.log.HardState;
import org.wasabimount.protocol.log.LogEntry;
import org.wasabimount.protocol.log.LogMessage;
import org.wasabimount.protocol.log.LogSnapshot;
import org.wasabimount.protocol.log.Membership;
import org.wasabimount.protocol.log.SnapshotRequest;
import org.wasabimount.protocol.log.TimeoutNow;
import org.wasabimount.protocol.log.VoteReply;
import org.wasabimount.protocol.log.VoteRequest;

import com.google.protobuf.ByteString;

/** Tests that messages whose fields contradict each other are dropped: an exception would end the process. */
public class MalformedMessageTest {

    private static final ReplicaSettings SETTINGS = ReplicaSettings.of("group", "vm0/0", 400, 1);
    private static final long[] EXTREMES = {
        Long.MIN_VALUE, -1, 0, 1, 2, 3, 4, 100, Integer.MAX_VALUE + 1L, Long.MAX_VALUE
    };
    private static final int MESSAGES = 300;

    @DataProvider
    public Object[][] seeds() {
        return IntStream.range(0, 200)
                .mapToObj(seed -> new Object[] {(long) seed})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void dropsMalformedMessages(long seed) {
        Random random = new Random(seed);
        Replica replica = follower();
        long nowMillis = 0;
        for (int number = 0; number < MESSAGES; number++) {
            nowMillis += random.nextInt(200);
            replica.receive(message(random, replica.term()), nowMillis);
            if (random.nextInt(4) == 0) {
                replica.tick(nowMillis);
            }
            replica.drain();
            replica.persisted(replica.lastIndex());
        }
        assertTrue(replica.commitIndex() <= replica.lastIndex());
    }

    private static Replica follower() {
        LogSnapshot snapshot = LogSnapshot.newBuilder()
                .setMembership(Membership.newBuilder().addAllVoters(List.of("vm0/0", "vm1/0", "vm2/0")))
                .build();
        return new Replica(SETTINGS, new PersistedLog(HardState.getDefaultInstance(), snapshot, List.of()), 0);
    }

    private static LogMessage message(Random random, long term) {
        LogMessage.Builder message = LogMessage.newBuilder()
                .setGroup("group")
                .setFrom(List.of("", "vm0/0", "vm1/0", "vm2/0", "stranger", "/").get(random.nextInt(6)))
                .setTo("vm0/0")
                .setTerm(random.nextInt(3) > 0 ? term + random.nextInt(2) : extreme(random));
        return switch (random.nextInt(7)) {
            case 0 ->
                message.setVoteRequest(VoteRequest.newBuilder()
                                .setPreVote(random.nextBoolean())
                                .setLeadershipTransfer(random.nextBoolean())
                                .setLastIndex(extreme(random))
                                .setLastTerm(extreme(random)))
                        .build();
            case 1 ->
                message.setVoteReply(VoteReply.newBuilder()
                                .setPreVote(random.nextBoolean())
                                .setGranted(random.nextBoolean()))
                        .build();
            case 2 ->
                message.setAppendRequest(appendRequest(random, message.getTerm()))
                        .build();
            case 3 ->
                message.setAppendReply(AppendReply.newBuilder()
                                .setAccepted(random.nextBoolean())
                                .setMatchIndex(extreme(random))
                                .setRound(extreme(random)))
                        .build();
            case 4 ->
                message.setSnapshotRequest(SnapshotRequest.newBuilder()
                                .setRound(extreme(random))
                                .setSnapshot(LogSnapshot.newBuilder()
                                        .setIndex(extreme(random))
                                        .setTerm(extreme(random))
                                        .setMembership(membership(random))))
                        .build();
            case 5 -> message.setTimeoutNow(TimeoutNow.getDefaultInstance()).build();
            default -> message.build();
        };
    }

    private static AppendRequest.Builder appendRequest(Random random, long term) {
        AppendRequest.Builder request = AppendRequest.newBuilder()
                .setPreviousIndex(extreme(random))
                .setPreviousTerm(extreme(random))
                .setCommitIndex(extreme(random))
                .setRound(extreme(random));
        for (int entry = random.nextInt(4); entry > 0; entry--) {
            request.addEntries(LogEntry.newBuilder()
                    .setIndex(random.nextBoolean() ? request.getPreviousIndex() + entry : extreme(random))
                    .setTerm(random.nextBoolean() ? term : extreme(random))
                    .setKindValue(random.nextInt(4))
                    .setData(
                            random.nextBoolean()
                                    ? ByteString.copyFromUtf8("not a membership")
                                    : membership(random).toByteString()));
        }
        return request;
    }

    private static Membership membership(Random random) {
        return random.nextBoolean()
                ? Membership.getDefaultInstance()
                : Membership.newBuilder()
                        .addVoters("vm0/0")
                        .addVoters("")
                        .addLearners("vm0/0")
                        .build();
    }

    private static long extreme(Random random) {
        return EXTREMES[random.nextInt(EXTREMES.length)];
    }

    @Test
    public void malformedMessageChangesNothing() {
        Replica replica = follower();
        replica.receive(
                LogMessage.newBuilder()
                        .setGroup("group")
                        .setFrom("vm1/0")
                        .setTo("vm0/0")
                        .setTerm(5)
                        .setAppendRequest(AppendRequest.newBuilder()
                                .addEntries(LogEntry.newBuilder().setIndex(7).setTerm(5)))
                        .build(),
                10);
        assertEquals(replica.lastIndex(), 0);
        assertEquals(replica.term(), 0);
    }
}
