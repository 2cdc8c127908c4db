package org.wasabimount.daemon.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import org.wasabimount.core.VmId;

/** Tests how nodes find each other and notice losses, and how many messages that takes, in virtual time. */
public class PeersTest {

    private static final int REPLICAS = 8;
    private static final int ENTRIES = 32;
    private static final int VOTERS = 3;
    private static final long MAX_WAIT_MILLIS = 60_000;

    /** The longest time until a node of which nothing is heard is considered lost, in milliseconds. */
    private static final long ALIVE_TIMEOUT_MILLIS = 800;

    private final List<SimulatedPeers.Node> replicas = new ArrayList<>();
    private final List<SimulatedPeers.Node> entries = new ArrayList<>();
    private SimulatedPeers cell;
    private SimulatedPeers.Node leader;

    @BeforeMethod
    public void startCell() {
        replicas.clear();
        entries.clear();
        List<VmId> seeds = IntStream.range(0, VOTERS)
                .mapToObj(PeersTest::replicaName)
                .map(VmId::new)
                .toList();
        cell = new SimulatedPeers(seeds);
        IntStream.range(0, REPLICAS).forEach(number -> replicas.add(cell.addReplica(replicaName(number))));
        IntStream.range(0, ENTRIES).forEach(number -> entries.add(cell.addEntry("e" + number)));
        cell.runFor(TimeUnit.SECONDS.toMillis(2));
        leader = replicas.get(1);
        cell.elect(leader);
        cell.runFor(TimeUnit.SECONDS.toMillis(10));
    }

    private static String replicaName(int number) {
        return "c" + number;
    }

    /**
     * Guards against presences from everyone to everyone at a short interval: 2,272 a second in a cell of this size,
     * each with all replicas (seen in dwd-panel-grown).
     */
    @Test
    public void idleCellSendsFewMessages() {
        long messages = cell.messageCount();
        long bytes = cell.byteCount();
        cell.runFor(TimeUnit.SECONDS.toMillis(30));
        long messagesPerSecond = (cell.messageCount() - messages) / 30;
        long bytesPerSecond = (cell.byteCount() - bytes) / 30;
        assertTrue(messagesPerSecond <= 600, messagesPerSecond + " messages a second");
        assertTrue(bytesPerSecond <= 40_000, bytesPerSecond + " bytes a second");
    }

    @Test
    public void leaderIsAliveEverywhereAtAllTimes() {
        for (int round = 0; round < 100; round++) {
            cell.runFor(97);
            entries.forEach(entry -> {
                assertTrue(entry.peers().alive(new VmId("c1")));
                assertEquals(entry.leader(), leader.identity());
            });
            assertEquals(leader.peers().available().size(), REPLICAS + ENTRIES - 1);
        }
    }

    @Test
    public void entriesNoticeLostLeader() {
        cell.stop(leader);
        cell.runFor(ALIVE_TIMEOUT_MILLIS + 1);
        entries.forEach(entry -> assertFalse(entry.peers().alive(new VmId("c1"))));
    }

    @Test
    public void entriesLearnNextLeaderAtOnce() {
        cell.stop(leader);
        cell.runFor(500);
        SimulatedPeers.Node next = replicas.get(0);
        cell.elect(next);
        cell.runFor(2 * SimulatedPeers.LINK_DELAY_MILLIS);
        entries.forEach(entry -> {
            assertTrue(entry.peers().alive(new VmId("c0")));
            assertEquals(entry.leader(), next.identity());
        });
        assertEquals(next.peers().available().size(), REPLICAS + ENTRIES - 1, "who can call the advice service");
    }

    @Test
    public void onlyChangesOfLeaderAreFollowed() {
        entries.forEach(entry -> entry.followedLeaders().clear());
        cell.runFor(TimeUnit.SECONDS.toMillis(30));
        entries.forEach(entry -> assertEquals(entry.followedLeaders(), List.of()));
        cell.elect(replicas.get(2));
        cell.runFor(TimeUnit.SECONDS.toMillis(1));
        entries.forEach(entry ->
                assertEquals(entry.followedLeaders(), List.of(replicas.get(2).identity())));
    }

    /**
     * Guards against operations that wait for a leader that was suspended and says once more that it leads: the change
     * back to its successor was not noticed, as each only repeated what it had said before.
     */
    @Test
    public void returnOfSuspendedLeaderAndChangeBackAreFollowed() {
        SimulatedPeers.Node next = replicas.get(0);
        cell.stop(leader);
        cell.runFor(500);
        cell.elect(next);
        cell.runFor(TimeUnit.SECONDS.toMillis(4));
        entries.forEach(entry -> entry.followedLeaders().clear());
        cell.resume(leader);
        leader.peers().round();
        cell.runFor(SimulatedPeers.LINK_DELAY_MILLIS);
        leader.follow(next.identity());
        cell.runFor(Peers.ROUND_INTERVAL_MILLIS + SimulatedPeers.LINK_DELAY_MILLIS);
        entries.forEach(entry ->
                assertEquals(entry.followedLeaders(), List.of(leader.identity(), next.identity()), "followed"));
    }

    @Test
    public void latestOfTwoThatReportThemselvesLeads() {
        SimulatedPeers.Node next = replicas.get(0);
        next.follow(next.identity());
        cell.runFor(SimulatedPeers.LINK_DELAY_MILLIS);
        entries.forEach(entry -> assertEquals(entry.leader(), next.identity()));
    }

    @Test
    public void nextLeaderKnowsSinceWhenVoterIsSilent() {
        cell.stop(leader);
        cell.runFor(500);
        cell.elect(replicas.get(0));
        cell.runFor(1_700);
        assertTrue(replicas.get(0).peers().silentMillis(new VmId("c1")) > 2_000);
        assertTrue(replicas.get(0).peers().silentMillis(new VmId("c2")) < 300);
    }

    @Test
    public void liveVoterIsNeverSilentForLong() {
        cell.stop(leader);
        cell.runFor(500);
        cell.elect(replicas.get(2));
        long silentMillis = replicas.get(2).peers().silentMillis(new VmId("c0"));
        assertTrue(silentMillis < 300, silentMillis + " ms");
    }

    @Test
    public void drainIsKnownToLeaderAtOnce() {
        entries.get(3).drain();
        cell.runFor(SimulatedPeers.LINK_DELAY_MILLIS);
        assertFalse(leader.peers().available().contains(new VmId("e3")));
    }

    @Test
    public void drainOfReplicaIsAnnouncedToAllAtOnce() {
        long messages = cell.messageCount();
        replicas.get(5).drain();
        assertEquals(cell.messageCount() - messages, REPLICAS + ENTRIES - 1);
    }

    @Test
    public void newEntryFindsLeaderThroughOneSeedThatDoesNotLead() {
        SimulatedPeers.Node joined = cell.addEntry("late", List.of(new VmId("c7")));
        long tookMillis = cell.runUntil(
                () -> joined.peers().alive(new VmId("c1"))
                        && joined.leader().equals(leader.identity())
                        && leader.peers().available().contains(new VmId("late")),
                MAX_WAIT_MILLIS);
        assertTrue(tookMillis <= 1_000, tookMillis + " ms");
        assertEquals(joined.peers().replicas().size(), REPLICAS);
    }

    @Test
    public void newReplicaIsKnownToAllThroughOneSeed() {
        SimulatedPeers.Node joined = cell.addReplica("late", List.of(new VmId("c6")));
        long tookMillis = cell.runUntil(
                () -> joined.peers().replicas().size() == REPLICAS
                        && entries.stream()
                                .allMatch(entry -> entry.peers().replicas().contains(new VmId("late"))),
                MAX_WAIT_MILLIS);
        assertTrue(tookMillis <= 1_000, tookMillis + " ms");
    }

    /** Connections may go silent for good without an error, while new ones work. */
    @Test
    public void silentLinkFromLeaderIsReopened() {
        leader.silenceLinkTo(entries.get(0));
        cell.runFor(ALIVE_TIMEOUT_MILLIS + 250);
        assertFalse(entries.get(0).peers().alive(new VmId("c1")));
        long tookMillis = cell.runUntil(() -> entries.get(0).peers().alive(new VmId("c1")), MAX_WAIT_MILLIS);
        assertTrue(tookMillis <= 2_500, tookMillis + " ms");
    }

    @Test
    public void silentLinkToLeaderIsReopened() {
        entries.get(0).silenceLinkTo(leader);
        cell.runFor(ALIVE_TIMEOUT_MILLIS + 250);
        assertFalse(leader.peers().alive(new VmId("e0")));
        long tookMillis = cell.runUntil(() -> leader.peers().alive(new VmId("e0")), MAX_WAIT_MILLIS);
        assertTrue(tookMillis <= 2_500, tookMillis + " ms");
    }

    @Test
    public void nextLeaderReopensLinkThatWentSilentBefore() {
        SimulatedPeers.Node next = replicas.get(0);
        SimulatedPeers.Node entry = entries.get(0);
        next.silenceLinkTo(entry);
        entry.silenceLinkTo(next);
        cell.stop(leader);
        cell.runFor(500);
        cell.elect(next);
        long tookMillis = cell.runUntil(() -> entry.leader().equals(next.identity()), MAX_WAIT_MILLIS);
        assertTrue(tookMillis <= 2_500, tookMillis + " ms");
    }

    @Test
    public void silentLinkBetweenNodesThatSeldomTalkIsReopened() {
        replicas.get(6).silenceLinkTo(entries.get(0));
        cell.runFor(TimeUnit.SECONDS.toMillis(15));
        assertTrue(replicas.get(6).reconnects() > 0);
    }

    @Test
    public void healthyLinksAreNotReopened() {
        cell.runFor(TimeUnit.SECONDS.toMillis(30));
        cell.elect(replicas.get(0));
        cell.runFor(TimeUnit.SECONDS.toMillis(30));
        assertEquals(replicas.stream().mapToInt(SimulatedPeers.Node::reconnects).sum(), 0);
        assertEquals(entries.stream().mapToInt(SimulatedPeers.Node::reconnects).sum(), 0);
    }
}
