package org.wasabimount.daemon.job;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;

import org.wasabimount.core.Clock;
import org.wasabimount.core.dispatch.DispatchSettings;
import org.wasabimount.core.log.ReplicaSettings;
import org.wasabimount.daemon.log.MemoryLogStore;
import org.wasabimount.daemon.metrics.NodeMetrics;
import org.wasabimount.protocol.log.LogSnapshot;
import org.wasabimount.protocol.log.Membership;

/** Creates a group with one replica, which leads as soon as its thread is started. */
final class SingleReplicaGroup {

    private static final String SELF = "vm0/0";

    private SingleReplicaGroup() {}

    /** Creates a group without a disk that calls the given workers. */
    static JobGroup of(WorkerCalls workers, Consumer<IOException> fatal, Clock wallClock) throws IOException {
        return new JobGroup(
                ReplicaSettings.of(JobGroup.NAME, SELF, 100, 1),
                LogSnapshot.newBuilder()
                        .setMembership(Membership.newBuilder().addVoters(SELF))
                        .build(),
                new MemoryLogStore(),
                new JobGroup.Dependencies(
                        workers,
                        call -> {},
                        List::of,
                        message -> {},
                        fatal,
                        new NodeMetrics(),
                        Clock.monotonic(),
                        wallClock),
                new DispatchSettings(6_000, 3_000, 120_000, 2_000, 200, 1_500, 3_000));
    }
}
