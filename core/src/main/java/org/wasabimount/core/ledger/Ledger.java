package org.wasabimount.core.ledger;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.wasabimount.core.ResultCode;
import org.wasabimount.core.Validate;
import org.wasabimount.protocol.cell.ClaimKey;
import org.wasabimount.protocol.cell.CompleteKey;
import org.wasabimount.protocol.cell.LedgerCommand;
import org.wasabimount.protocol.cell.LedgerEntry;
import org.wasabimount.protocol.cell.LedgerSnapshot;
import org.wasabimount.protocol.cell.ReleaseKey;
import org.wasabimount.protocol.cell.Reply;

/**
 * The state machine of a ledger log, which ensures that an unrepeatable request is sent at most once.
 *
 * <p>A key is first absent, then claimed, then answered. A request may be sent only after its claim was replied to with
 * {@link ResultCode#OK} and no recorded response. That reply is given to at most one attempt for each key, unless the
 * attempt that holds the claim released it because nothing was sent.
 */
public final class Ledger {

    /** Retention of keys in production, in milliseconds. */
    public static final long RETENTION_MILLIS = 86_400_000;

    /** Maximum number of keys that one organisation may have in one ledger. */
    public static final int MAX_KEYS_PER_ORGANISATION = 50_000;

    /** Maximum time by which a caller's clock may be ahead, in milliseconds. */
    public static final long MAX_CLOCK_AHEAD_MILLIS = 60_000;

    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final int MAX_KEYS_PER_SWEEP = 64;

    private final long retentionMillis;
    private final Map<String, LedgerEntry> entries = new LinkedHashMap<>();
    private final Map<String, Integer> countByOrganisation = new LinkedHashMap<>();
    private long timeMillis;

    /**
     * Creates an empty ledger.
     *
     * @param retentionMillis how long a key is kept, in milliseconds; it must be the same on every replica and must not
     *     change while the cell exists: after an increase, keys that were already dropped could be claimed again
     */
    public Ledger(long retentionMillis) {
        this.retentionMillis = Validate.positive(retentionMillis, "retentionMillis");
    }

    /**
     * Applies one command of the log.
     *
     * @param command the command; a time before the ledger's time leaves the ledger's time unchanged
     * @return the reply to the sender of the command
     */
    public Reply apply(LedgerCommand command) {
        timeMillis = Math.max(timeMillis, command.getTimeMillis());
        sweep();
        return switch (command.getBodyCase()) {
            case CLAIM -> claim(command, command.getClaim());
            case COMPLETE -> complete(command, command.getComplete());
            case RELEASE -> release(command, command.getRelease());
            case BODY_NOT_SET -> reply(ResultCode.MALFORMED, "the command has no body");
        };
    }

    /**
     * Returns the number of keys in the ledger.
     *
     * @return the count
     */
    public int size() {
        return entries.size();
    }

    /**
     * Returns a snapshot of the whole state.
     *
     * @return a message from which {@link #restore} creates an equal state
     */
    public LedgerSnapshot snapshot() {
        return LedgerSnapshot.newBuilder()
                .addAllEntries(entries.values())
                .setTimeMillis(timeMillis)
                .build();
    }

    /**
     * Restores a ledger from a snapshot.
     *
     * @param saved the snapshot
     * @param retentionMillis how long a key is kept, in milliseconds
     * @return the ledger
     */
    public static Ledger restore(LedgerSnapshot saved, long retentionMillis) {
        Ledger ledger = new Ledger(retentionMillis);
        ledger.timeMillis = saved.getTimeMillis();
        saved.getEntriesList().forEach(ledger::add);
        return ledger;
    }

    private Reply claim(LedgerCommand command, ClaimKey claim) {
        LedgerEntry known = entries.get(id(command));
        if (known != null) {
            return replyForKnownKey(known, claim);
        }
        long createdMillis = RequestKey.parse(command.getKey())
                .map(RequestKey::createdMillis)
                .orElse(Long.MIN_VALUE);
        if (createdMillis <= timeMillis - retentionMillis) {
            return reply(ResultCode.KEY_TOO_OLD, "the key is older than the ledger's retention");
        }
        if (createdMillis > timeMillis + MAX_CLOCK_AHEAD_MILLIS) {
            return reply(ResultCode.BAD_KEY, "the key's timestamp is in the future");
        }
        if (countByOrganisation.getOrDefault(command.getOrganisation(), 0) >= MAX_KEYS_PER_ORGANISATION) {
            return reply(ResultCode.QUEUE_FULL, "the organisation has too many keys in the ledger");
        }
        add(LedgerEntry.newBuilder()
                .setOrganisation(command.getOrganisation())
                .setKey(command.getKey())
                .setAttempt(claim.getAttempt())
                .setBodyHash(claim.getBodyHash())
                .setClaimedMillis(timeMillis)
                .setDeadlineMillis(claim.getDeadlineMillis())
                .build());
        return reply(ResultCode.OK, "");
    }

    private Reply replyForKnownKey(LedgerEntry known, ClaimKey claim) {
        if (!known.getBodyHash().equals(claim.getBodyHash())) {
            return reply(ResultCode.KEY_REUSED, "the key was already used with a different request");
        }
        if (known.hasAnswer()) {
            return known.getAnswer().getBodyDropped()
                    ? reply(ResultCode.ANSWER_NOT_KEPT, "the request ran, but its response was too large to be kept")
                    : Reply.newBuilder()
                            .setResultCode(ResultCode.OK.number())
                            .setAnswer(known.getAnswer())
                            .build();
        }
        if (known.getAttempt().equals(claim.getAttempt())) {
            // The attempt that holds the claim repeats it because the reply to the first claim was lost.
            return reply(ResultCode.OK, "");
        }
        return timeMillis < known.getDeadlineMillis()
                ? reply(ResultCode.IN_PROGRESS, "the first request with this key is still running")
                : reply(ResultCode.OUTCOME_UNKNOWN, "the response to the first request with this key was lost");
    }

    private Reply complete(LedgerCommand command, CompleteKey complete) {
        LedgerEntry known = entries.get(id(command));
        if (known == null || !known.getAttempt().equals(complete.getAttempt())) {
            return reply(ResultCode.NOT_FOUND, "the key is not claimed by this attempt");
        }
        if (!known.hasAnswer()) {
            entries.put(
                    id(command),
                    known.toBuilder().setAnswer(complete.getAnswer()).build());
        }
        return reply(ResultCode.OK, "");
    }

    private Reply release(LedgerCommand command, ReleaseKey release) {
        LedgerEntry known = entries.get(id(command));
        if (known == null || known.hasAnswer() || !known.getAttempt().equals(release.getAttempt())) {
            return reply(ResultCode.NOT_FOUND, "the key is not claimed by this attempt");
        }
        remove(known);
        entries.remove(id(command));
        return reply(ResultCode.OK, "");
    }

    /** Drops expired keys, oldest claim first. Every dropped key is too old to be claimed again. */
    private void sweep() {
        Iterator<LedgerEntry> oldestFirst = entries.values().iterator();
        for (int checked = 0; checked < MAX_KEYS_PER_SWEEP && oldestFirst.hasNext(); checked++) {
            LedgerEntry entry = oldestFirst.next();
            long keptUntilMillis = entry.getClaimedMillis() + retentionMillis + MAX_CLOCK_AHEAD_MILLIS;
            if (keptUntilMillis >= timeMillis) {
                return;
            }
            remove(entry);
            oldestFirst.remove();
        }
    }

    private void add(LedgerEntry entry) {
        entries.put(id(entry.getOrganisation(), entry.getKey()), entry);
        countByOrganisation.merge(entry.getOrganisation(), 1, Integer::sum);
    }

    private void remove(LedgerEntry entry) {
        countByOrganisation.computeIfPresent(
                entry.getOrganisation(), (organisation, count) -> count == 1 ? null : count - 1);
    }

    private static String id(LedgerCommand command) {
        return id(command.getOrganisation(), command.getKey());
    }

    private static String id(String organisation, String key) {
        return organisation + "/" + key;
    }

    private static Reply reply(ResultCode code, String detail) {
        return Reply.newBuilder()
                .setResultCode(code.number())
                .setDetail(detail)
                .setRetryAfterMillis(code.retryable() ? RETRY_AFTER_MILLIS : 0)
                .build();
    }
}
