package org.wasabimount.core.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongConsumer;
import java.util.stream.Stream;

import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.job.Organisations;
import org.wasabimount.core.job.RunId;

/**
 * Keeps the steps that do not fit the free quota of their organisation apart from those that may be placed.
 *
 * <p>Designed for organisations with hundreds of waiting steps at their quota, beside others that are below theirs: such steps
 * are parked and cost nothing until the free quota of their organisation grows. Then the first in scheduling order that fit
 * may be placed again.
 *
 * @param <S> the type of the steps; their order must not change while they are parked
 */
public final class QuotaGate<S extends QuotaDemand> {

    private static final System.Logger LOG = System.getLogger("wasabimount.quota");

    /**
     * Interval at which parked steps are taken out that fit, although others want all of the free quota, in milliseconds: a part
     * of the time that a job may be without a run while its organisation is below its quota.
     */
    private static final long REVIEW_MILLIS = 250;

    private final Organisations accounts;
    private final FreeQuota free;
    private final Comparator<S> order;
    private final LongConsumer examined;
    private final Map<S, OrganisationSteps.Entry<S>> entries = new HashMap<>();
    private final Map<String, OrganisationSteps<S>> organisations = new LinkedHashMap<>();
    private final Set<S> parked = new LinkedHashSet<>();

    /** The organisations whose free quota may have grown since their parked steps were examined. */
    private final Set<String> grown = new LinkedHashSet<>();

    /** The organisations whose free quota has shrunk since their fitting steps were examined. */
    private final Set<String> shrunk = new LinkedHashSet<>();

    private long nextNumber;
    private long reviewMillis = Long.MIN_VALUE;

    /**
     * Creates an instance without steps.
     *
     * @param organisations the organisations with what their placed tasks hold
     * @param order the scheduling order of the steps
     * @param examined receives the number of steps that were examined
     */
    public QuotaGate(Organisations organisations, Comparator<S> order, LongConsumer examined) {
        this.accounts = organisations;
        this.free = new FreeQuota(organisations);
        this.order = order;
        this.examined = examined;
    }

    /**
     * Records a waiting step.
     *
     * @param step the step, which must not be recorded already
     * @return true if it fits the free quota, false if it is parked
     */
    public boolean enter(S step) {
        if (accounts.account(step.organisation()).isEmpty()) {
            return true;
        }
        examined.accept(1);
        OrganisationSteps.Entry<S> entry = new OrganisationSteps.Entry<>(step, nextNumber++);
        OrganisationSteps<S> steps =
                organisations.computeIfAbsent(step.organisation(), absent -> new OrganisationSteps<>(order));
        entries.put(step, entry);
        boolean fits = tasksFitting(step) > 0;
        if (fits) {
            steps.add(entry, free.of(step.organisation()).orElseThrow());
        } else {
            steps.park(entry);
            parked.add(step);
            logIfTooLarge(step);
        }
        return fits;
    }

    /**
     * Removes a step that no longer waits, or whose place in the order is about to change.
     *
     * @param step the step
     */
    public void leave(S step) {
        OrganisationSteps.Entry<S> entry = entries.remove(step);
        if (entry != null) {
            boolean wasParked = parked.remove(step);
            OrganisationSteps<S> steps = organisations.get(step.organisation());
            steps.remove(entry);
            if (steps.isEmpty()) {
                organisations.remove(step.organisation());
            } else if (!wasParked) {
                // What it wanted is left to others.
                released(step.organisation());
            }
        }
    }

    /**
     * Returns how many units of a step fit the free quota of its organisation.
     *
     * @param step the step
     * @return the number of tasks, for a gang 1 if all of its tasks fit and otherwise 0
     */
    public long tasksFitting(S step) {
        return free.of(step.organisation())
                .map(capacity -> step.unit().timesIn(capacity))
                .orElse((long) Integer.MAX_VALUE);
    }

    /**
     * Returns whether a step waits for its organisation's quota.
     *
     * @param step the step
     * @return true if it is parked
     */
    public boolean parked(S step) {
        return parked.contains(step);
    }

    /**
     * Returns the parked steps.
     *
     * @return the steps of all organisations, longest parked first
     */
    public Set<S> parked() {
        return parked;
    }

    /**
     * Returns whether there may be steps to park, or parked ones that fit.
     *
     * @return true if a quota, or what an organisation holds, has changed
     */
    public boolean changed() {
        return !grown.isEmpty() || !shrunk.isEmpty();
    }

    /**
     * Parks the steps that do not fit the free quota of their organisation any more.
     *
     * @return the steps that have been parked
     */
    public List<S> parkExceeding() {
        if (shrunk.isEmpty()) {
            return List.of();
        }
        List<S> exceeding = List.copyOf(shrunk).stream()
                .flatMap(name -> changes(name, OrganisationSteps::parkExceeding))
                .toList();
        shrunk.clear();
        parked.addAll(exceeding);
        exceeding.forEach(this::logIfTooLarge);
        return exceeding;
    }

    /**
     * Takes out parked steps that fit the free quota of their organisation, as many as can use it soon.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the steps that may be placed now, those of one organisation in scheduling order; if there may be more, {@link
     *     #changed} stays true
     */
    public List<S> takeFitting(long nowMillis) {
        List<S> fitting = new ArrayList<>();
        List.copyOf(grown).stream()
                .flatMap(name -> changes(name, OrganisationSteps::takeFitting))
                .forEach(fitting::add);
        if (nowMillis >= reviewMillis) {
            reviewMillis = nowMillis + REVIEW_MILLIS;
            organisations.keySet().stream()
                    .flatMap(name -> changes(name, OrganisationSteps::review))
                    .forEach(fitting::add);
        }
        grown.removeIf(name ->
                !organisations.containsKey(name) || !organisations.get(name).searching());
        fitting.forEach(parked::remove);
        return fitting;
    }

    private interface Change<S extends QuotaDemand> {
        List<OrganisationSteps.Entry<S>> apply(OrganisationSteps<S> steps, Capacity free);
    }

    private Stream<S> changes(String organisation, Change<S> change) {
        OrganisationSteps<S> steps = organisations.get(organisation);
        return steps == null
                ? Stream.empty()
                : free.of(organisation).map(capacity -> change.apply(steps, capacity)).stream()
                        .flatMap(List::stream)
                        .peek(entry -> examined.accept(1))
                        .map(OrganisationSteps.Entry::step);
    }

    /**
     * Records that the placement of a task is being committed.
     *
     * @param run the run
     * @param step the task's step
     * @param size the size of the task
     */
    public void proposed(RunId run, S step, Capacity size) {
        if (accounts.account(step.organisation()).isPresent()) {
            free.proposed(run, step.organisation(), size);
            Optional.ofNullable(entries.get(step))
                    .ifPresent(entry -> organisations.get(step.organisation()).proposed(entry, size));
            shrunk.add(step.organisation());
        }
    }

    /**
     * Records that a run was placed, and its size charged.
     *
     * @param run the run
     * @param organisation the organisation of its job
     */
    public void placed(RunId run, String organisation) {
        if (!free.settled(run)) {
            shrunk.add(organisation);
        }
    }

    /**
     * Records that a placement was rejected.
     *
     * @param run the run
     * @param organisation the organisation of its job
     */
    public void refused(RunId run, String organisation) {
        free.settled(run);
        released(organisation);
    }

    /**
     * Records that an organisation holds less than before.
     *
     * @param organisation the organisation
     */
    public void released(String organisation) {
        OrganisationSteps<S> steps = organisations.get(organisation);
        if (steps != null) {
            steps.search();
            grown.add(organisation);
        }
    }

    /** Records that quotas may have changed. */
    public void quotasChanged() {
        organisations.keySet().forEach(this::released);
        shrunk.addAll(organisations.keySet());
    }

    /** Logs a step that exceeds the whole quota, which was lowered after its submission. */
    private void logIfTooLarge(S step) {
        accounts.account(step.organisation())
                .filter(account -> !OrganisationSteps.fits(step, account.quota()))
                .ifPresent(account -> LOG.log(
                        System.Logger.Level.INFO,
                        "QUOTA too small step={0} organisation={1} needs={2} quota={3} used={4}",
                        step,
                        account.id(),
                        step.unit(),
                        account.quota(),
                        account.used()));
    }
}
