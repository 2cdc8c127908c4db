package org.wasabimount.core.ledger;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.lists;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import org.quicktheories.core.Gen;
import org.testng.annotations.Test;
import org.wasabimount.core.ResultCode;
import org.wasabimount.protocol.cell.ClaimKey;
import org.wasabimount.protocol.cell.CompleteKey;
import org.wasabimount.protocol.cell.LedgerCommand;
import org.wasabimount.protocol.cell.RecordedAnswer;
import org.wasabimount.protocol.cell.ReleaseKey;
import org.wasabimount.protocol.cell.Reply;

import com.google.protobuf.ByteString;

/** Checks random claims, sends, responses, releases and crashes of dispatchers against a count of requests sent. */
public class LedgerFuzzTest {

    private static final long SEED = Long.getLong("fuzz.seed", 20261203L);
    private static final int EXAMPLES = Integer.getInteger("fuzz.examples", 200);
    private static final int STEPS = Integer.getInteger("fuzz.steps", 400);
    private static final int MAX_NUMBER = 1_000_000;
    private static final long RETENTION_MILLIS = 100_000;
    private static final int KEYS = 6;

    private record Step(int action, int first, int second) {}

    /** The ledger, the keys in use, and the requests that were sent and answered. */
    private static final class Model {
        private final List<String> keys = new ArrayList<>();
        private final Map<String, Integer> sendCounts = new HashMap<>();
        private final Map<String, String> firstAnswer = new HashMap<>();
        private final List<LedgerCommand> commands = new ArrayList<>();
        private final Map<String, String> keyByAttempt = new HashMap<>();
        private final List<String> pendingClaims = new ArrayList<>();
        private Ledger ledger = new Ledger(RETENTION_MILLIS);
        private long nowMillis = 1_000_000;
        private int nextAttempt;

        private void newKey(int number) {
            long createdMillis = nowMillis - number % 2_000;
            UUID key = new UUID(createdMillis << 16 | 0x7000L, Long.MIN_VALUE | keys.size());
            keys.add(key.toString());
        }

        private Reply apply(LedgerCommand command) {
            commands.add(command);
            return ledger.apply(command.toBuilder().setTimeMillis(nowMillis).build());
        }

        private void claim(int number) {
            if (keys.size() < KEYS || number % 10 == 0) {
                newKey(number);
            }
            String key = keys.get(number % keys.size());
            nextAttempt++;
            String attempt = "attempt-" + nextAttempt;
            Reply reply = apply(command(key)
                    .setClaim(ClaimKey.newBuilder()
                            .setAttempt(attempt)
                            .setBodyHash(ByteString.copyFromUtf8(key))
                            .setDeadlineMillis(nowMillis + 1_000))
                    .build());
            if (reply.hasAnswer()) {
                assertEquals(
                        reply.getAnswer().getBody().toStringUtf8(),
                        firstAnswer.get(key),
                        "the reply differs from the first answer");
            } else if (reply.getResultCode() == ResultCode.OK.number()) {
                keyByAttempt.put(attempt, key);
                pendingClaims.add(attempt);
            }
        }

        /** A dispatcher that holds a claim sends the request; its response is recorded if {@code answered} is true. */
        private void send(int number, boolean answered) {
            if (pendingClaims.isEmpty()) {
                return;
            }
            String attempt = pendingClaims.remove(number % pendingClaims.size());
            String key = keyByAttempt.get(attempt);
            int sends = sendCounts.merge(key, 1, Integer::sum);
            assertTrue(sends == 1, "key " + key + " was sent " + sends + " times");
            if (answered) {
                firstAnswer.putIfAbsent(key, attempt);
                apply(command(key)
                        .setComplete(CompleteKey.newBuilder()
                                .setAttempt(attempt)
                                .setAnswer(RecordedAnswer.newBuilder()
                                        .setStatus(200)
                                        .setBody(ByteString.copyFromUtf8(attempt))))
                        .build());
            }
        }

        private void release(int number) {
            if (!pendingClaims.isEmpty()) {
                String attempt = pendingClaims.remove(number % pendingClaims.size());
                apply(command(keyByAttempt.get(attempt))
                        .setRelease(ReleaseKey.newBuilder().setAttempt(attempt))
                        .build());
            }
        }

        /** A command that was delayed in the network arrives again; its sender no longer acts on the reply. */
        private void redeliver(int number) {
            if (!commands.isEmpty()) {
                LedgerCommand delayed = commands.get(number % commands.size());
                ledger.apply(delayed.toBuilder().setTimeMillis(nowMillis).build());
            }
        }

        private static LedgerCommand.Builder command(String key) {
            return LedgerCommand.newBuilder().setOrganisation("org").setKey(key);
        }
    }

    private static Gen<List<Step>> steps() {
        Gen<Step> step = integers()
                .between(0, 99)
                .zip(integers().between(0, MAX_NUMBER), integers().between(0, MAX_NUMBER), Step::new);
        return lists().of(step).ofSizeBetween(STEPS / 2, STEPS);
    }

    @Test
    public void sendsEachKeyAtMostOnceAndReturnsTheFirstAnswer() {
        qt().withFixedSeed(SEED)
                .withExamples(EXAMPLES)
                .withShrinkCycles(EXAMPLES)
                .forAll(steps())
                .checkAssert(steps -> {
                    Model model = new Model();
                    steps.forEach(step -> perform(model, step));
                });
    }

    private static void perform(Model model, Step step) {
        int action = step.action();
        if (action < 40) {
            model.claim(step.first());
        } else if (action < 55) {
            model.send(step.first(), true);
        } else if (action < 62) {
            model.send(step.first(), false);
        } else if (action < 70) {
            model.release(step.first());
        } else if (action < 80) {
            model.redeliver(step.first());
        } else if (action < 85) {
            model.ledger = Ledger.restore(model.ledger.snapshot(), RETENTION_MILLIS);
        } else if (action < 98) {
            model.nowMillis += step.first() % 5_000;
        } else {
            model.nowMillis += RETENTION_MILLIS;
        }
    }
}
