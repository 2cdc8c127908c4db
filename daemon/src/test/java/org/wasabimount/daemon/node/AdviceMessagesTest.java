package org.wasabimount.daemon.node;

import static org.testng.Assert.assertEquals;

import java.util.Map;

import org.testng.annotations.Test;
import org.wasabimount.core.dispatch.AdviceOutcome;
import org.wasabimount.core.dispatch.AdviceResult;
import org.wasabimount.protocol.peer.AdviceReply;

import com.google.protobuf.InvalidProtocolBufferException;

/** Tests that the results of advice calls survive the message from the calling VM to the leader. */
public class AdviceMessagesTest {

    private static final long CALL = 7;

    private static AdviceResult transferred(AdviceResult result) throws InvalidProtocolBufferException {
        byte[] sent = AdviceMessages.reply(CALL, result).toByteArray();
        AdviceReply received = AdviceReply.parseFrom(sent);
        assertEquals(received.getId(), CALL);
        return AdviceMessages.result(received);
    }

    @Test
    public void transfersAdvice() throws InvalidProtocolBufferException {
        AdviceResult advice = AdviceResult.answered(Map.of("one", "t1", "two", "t2"), 2_500);
        assertEquals(transferred(advice), advice);
    }

    @Test
    public void transfersOutcomeAndStatusOfFailedCalls() throws InvalidProtocolBufferException {
        for (AdviceOutcome outcome : AdviceOutcome.values()) {
            if (!outcome.answered()) {
                AdviceResult failure = AdviceResult.failed(outcome, 400);
                assertEquals(transferred(failure), failure);
            }
        }
    }

    @Test
    public void failureWithoutOutcomeIsUnanswered() {
        AdviceReply earlierVersion = AdviceReply.newBuilder().setId(CALL).build();
        assertEquals(AdviceMessages.result(earlierVersion), AdviceResult.failed(AdviceOutcome.NO_ANSWER));
    }

    @Test
    public void answerWithoutOutcomeIsAnswered() {
        AdviceReply earlierVersion =
                AdviceReply.newBuilder().setAnswered(true).setValidMillis(2_500).build();
        assertEquals(AdviceMessages.result(earlierVersion), AdviceResult.answered(Map.of(), 2_500));
    }
}
