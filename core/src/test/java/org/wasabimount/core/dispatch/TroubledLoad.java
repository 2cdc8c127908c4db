package org.wasabimount.core.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.wasabimount.core.job.Job;

/**
 * The load of a deployment with troubles, after which arrivals stop; finds the jobs that have no run although there is
 * room for them.
 */
final class TroubledLoad {

    private static final long ARRIVALS_MILLIS = 24_000;
    private static final long QUIET_MILLIS = 16_000;
    private static final long SAMPLE_MILLIS = 500;
    private static final int BACKLOG_GANGS = 20;

    final StalledJobs stalled;
    final DeploymentLoad load;

    private final SimulatedCell cell;
    private final Random random;
    private final List<String> callers;
    private final Set<Trouble> troubles;
    private final List<Timed> timed = new ArrayList<>();

    private record Timed(long atMillis, Runnable change) {}

    /** Something that happens beside the load. */
    enum Trouble {
        /** Gangs wait before the load begins. */
        BACKLOG {
            @Override
            void prepare(TroubledLoad trial) {
                trial.load.submitGangs(BACKLOG_GANGS);
            }
        },

        /** A sixth of the workers takes five times as long for 15 s. */
        SLOW {
            @Override
            void prepare(TroubledLoad trial) {
                List<SimulatedWorker> slow = new ArrayList<>();
                trial.cell.gangsSlowDown = true;
                trial.at(6_000, () -> slow.addAll(trial.pick(1.0 / 6)));
                trial.at(6_000, () -> slow.forEach(worker -> worker.slowdownFactor = 5));
                trial.at(21_000, () -> slow.forEach(worker -> worker.slowdownFactor = 1));
            }
        },

        /** A sixth of the workers is cut off until their leases lapse, and runs on. */
        CUT {
            @Override
            void prepare(TroubledLoad trial) {
                trial.cut(8_000, 8_500);
            }
        },

        /** As {@link #CUT}, until the workers are given up as silent. */
        LONG_CUT {
            @Override
            void prepare(TroubledLoad trial) {
                trial.cut(5_000, 18_000);
            }
        },

        /** Over half of the workers crash at once, and later a third. */
        LOSSES {
            @Override
            void prepare(TroubledLoad trial) {
                trial.at(9_000, () -> trial.lose(0.55));
                trial.at(18_000, () -> trial.lose(0.3));
            }
        },

        /** A new leader takes over after some time without one. */
        LEADER {
            @Override
            void prepare(TroubledLoad trial) {
                long without = 500 + trial.random.nextInt(3_000);
                trial.at(10_000, () -> trial.cell.leaderSuspended = true);
                trial.at(10_000 + without, trial::changeLeader);
            }
        },

        /** Announcements arrive late and responses are lost. */
        LATE {
            @Override
            void prepare(TroubledLoad trial) {
                trial.at(10_000, () -> trial.disturbNetwork(0.4, 0.02));
                trial.at(17_000, () -> trial.disturbNetwork(0, 0));
            }
        };

        abstract void prepare(TroubledLoad trial);
    }

    TroubledLoad(long seed, DeploymentLoad.Deployment deployment, int workers, int callerCount, Set<Trouble> troubles) {
        load = new DeploymentLoad(seed, deployment, workers, 0.9 * workers / deployment.workers);
        cell = load.cell;
        random = new Random(seed);
        this.troubles = troubles;
        callers = IntStream.range(0, callerCount)
                .mapToObj(number -> "front" + number)
                .toList();
        cell.dispatcher.callers(callers);
        stalled = new StalledJobs(cell);
    }

    /** Plays the load and the troubles, and then the time without arrivals. */
    void play() {
        troubles.forEach(trouble -> trouble.prepare(this));
        for (long millis = 0; millis < ARRIVALS_MILLIS; millis += SAMPLE_MILLIS) {
            long now = millis;
            timed.stream()
                    .filter(change -> change.atMillis >= now && change.atMillis < now + SAMPLE_MILLIS)
                    .forEach(change -> change.change.run());
            load.run(SAMPLE_MILLIS);
            stalled.sample();
        }
        stalled.run(QUIET_MILLIS);
    }

    private void at(long millis, Runnable change) {
        timed.add(new Timed(millis, change));
    }

    private List<SimulatedWorker> pick(double share) {
        List<SimulatedWorker> workers = new ArrayList<>(cell.byAddress.values().stream()
                .filter(worker -> !worker.crashed)
                .toList());
        Collections.shuffle(workers, random);
        return workers.subList(0, (int) (share * workers.size()));
    }

    private void lose(double share) {
        pick(share).forEach(worker -> cell.loseFor(worker, 2_000 + random.nextInt(8_000)));
    }

    private void cut(long atMillis, long millis) {
        List<SimulatedWorker> cut = new ArrayList<>();
        at(atMillis, () -> cut.addAll(pick(0.17)));
        at(atMillis, () -> cut.forEach(worker -> cell.disconnectedAddresses.add(worker.address)));
        at(atMillis + millis, () -> cut.forEach(worker -> cell.disconnectedAddresses.remove(worker.address)));
    }

    private void changeLeader() {
        cell.leaderSuspended = false;
        cell.changeLeader();
        cell.dispatcher.callers(callers);
    }

    private void disturbNetwork(double delayedAnnouncements, double lostResponses) {
        cell.delayedAnnouncementShare = delayedAnnouncements;
        cell.lostResponseShare = lostResponses;
    }

    /**
     * Plays seeds and prints the jobs that stalled.
     *
     * @param arguments the first and the last seed, the troubles separated by commas or "all" or "mix" (drawn for each
     *     seed), the deployment, the number of workers and the number of callers
     */
    public static void main(String[] arguments) {
        DeploymentLoad.Deployment deployment = arguments.length > 3
                ? DeploymentLoad.Deployment.valueOf(arguments[3])
                : DeploymentLoad.Deployment.PANEL_VARIED;
        int workers = arguments.length > 4 ? Integer.parseInt(arguments[4]) : deployment.workers;
        int callerCount = arguments.length > 5 ? Integer.parseInt(arguments[5]) : 32;
        for (long seed = Long.parseLong(arguments[0]); seed <= Long.parseLong(arguments[1]); seed++) {
            TroubledLoad trial = new TroubledLoad(seed, deployment, workers, callerCount, troubles(arguments[2], seed));
            trial.play();
            System.out.printf(
                    Locale.ROOT,
                    "%s seed=%d troubles=%s stalled=%d worstMillis=%d open=%d coresInUse=%.2f inTime=%d of %d"
                            + " violations=%s%n",
                    deployment,
                    seed,
                    trial.troubles,
                    trial.stalled.stalled.size(),
                    trial.stalled.worstMillis(),
                    trial.cell.table.jobs().stream().filter(Job::open).count(),
                    trial.load.shareOfCoresInUse(),
                    trial.load.completedInTime(),
                    trial.load.accepted.size(),
                    trial.cell.violations);
            trial.stalled.stalled.entrySet().stream()
                    .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
                    .forEach(job -> System.out.println("  " + job.getValue() + " ms " + job.getKey()));
        }
    }

    /** Returns all troubles, those of a list, or some drawn with a seed. */
    private static Set<Trouble> troubles(String names, long seed) {
        if (names.equals("all")) {
            return EnumSet.complementOf(EnumSet.of(Trouble.LONG_CUT));
        }
        Set<Trouble> troubles = EnumSet.noneOf(Trouble.class);
        if (names.equals("mix")) {
            // The first values of generators with small seeds are alike.
            Random draw = new Random(new Random(seed).nextLong());
            for (Trouble trouble : Trouble.values()) {
                if (draw.nextBoolean()) {
                    troubles.add(trouble);
                }
            }
            return troubles;
        }
        for (String name : names.split(",")) {
            troubles.add(Trouble.valueOf(name));
        }
        return troubles;
    }
}
