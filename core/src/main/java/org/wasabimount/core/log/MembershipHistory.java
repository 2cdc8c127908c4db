package org.wasabimount.core.log;

import java.util.HashSet;
import java.util.Set;
import java.util.TreeMap;

import org.wasabimount.protocol.log.LogEntry;
import org.wasabimount.protocol.log.LogSnapshot;
import org.wasabimount.protocol.log.Membership;

import com.google.protobuf.InvalidProtocolBufferException;

/** The memberships of the retained part of a log. The last one is current, committed or not. */
final class MembershipHistory {

    private final TreeMap<Long, Membership> byIndex = new TreeMap<>();

    MembershipHistory(LogSnapshot snapshot) {
        reset(snapshot);
    }

    Membership current() {
        return byIndex.lastEntry().getValue();
    }

    long lastChangeIndex() {
        return byIndex.lastKey();
    }

    Membership at(long index) {
        return byIndex.floorEntry(index).getValue();
    }

    boolean isVoter(String id) {
        return current().getVotersList().contains(id);
    }

    boolean hasQuorum(Set<String> grantedVotes) {
        long count = current().getVotersList().stream()
                .filter(grantedVotes::contains)
                .count();
        return count > current().getVotersCount() / 2;
    }

    /** Returns whether at most one voter is added or removed, so that any two majorities overlap. */
    boolean changesAtMostOneVoter(Membership next) {
        Set<String> before = new HashSet<>(current().getVotersList());
        Set<String> after = new HashSet<>(next.getVotersList());
        long removed = before.stream().filter(id -> !after.contains(id)).count();
        long added = after.stream().filter(id -> !before.contains(id)).count();
        return removed + added <= 1 && !after.isEmpty();
    }

    /** Adds the membership of an appended entry if it is a membership entry. */
    void addIfMembership(LogEntry entry) {
        if (entry.getKind() != LogEntry.Kind.MEMBERSHIP) {
            return;
        }
        try {
            byIndex.put(entry.getIndex(), Membership.parseFrom(entry.getData()));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("membership entry " + entry.getIndex() + " cannot be parsed", e);
        }
    }

    void truncateFrom(long index) {
        byIndex.tailMap(index, true).clear();
    }

    /** Discards memberships that apply only to indices before the new base index. */
    void compactTo(long baseIndex) {
        byIndex.headMap(byIndex.floorKey(baseIndex), false).clear();
    }

    void reset(LogSnapshot snapshot) {
        byIndex.clear();
        byIndex.put(snapshot.getIndex(), snapshot.getMembership());
    }
}
