package org.wasabimount.core.quota;

import java.util.Optional;
import java.util.stream.IntStream;

import org.wasabimount.core.Refusal;
import org.wasabimount.core.ResultCode;
import org.wasabimount.core.cell.Capacity;
import org.wasabimount.core.cell.OrganisationAccount;
import org.wasabimount.protocol.job.JobSpec;
import org.wasabimount.protocol.job.Step;

/** Checks single jobs and starts against the quota of their organisation. */
public final class QuotaCheck {

    private QuotaCheck() {}

    /**
     * Decides whether a job could ever start: each task, and all tasks of each gang together, must fit the quota.
     *
     * <p>The load: jobs that are wider than their organisation may run. A caller is told at once, as such a job would wait for
     * ever. The code is not {@link ResultCode#OVER_QUOTA}, as its status stands for calls that the caller may not make.
     *
     * @param spec the job
     * @param account the account of the organisation that submits it
     * @return the refusal, empty if the quota allows the job
     */
    public static Optional<Refusal> check(JobSpec spec, OrganisationAccount account) {
        return IntStream.range(0, spec.getStepsCount())
                .filter(number -> !fits(spec.getSteps(number), account.quota()))
                .mapToObj(number -> Refusal.of(
                        ResultCode.NEVER_FITS,
                        "step " + number + " needs " + atOnce(spec.getSteps(number))
                                + " at once, the quota of organisation " + account.id() + " is " + account.quota()))
                .findFirst();
    }

    /**
     * Returns whether a placed run may be started: its organisation, with the run, is not above its quota, which may have been
     * lowered since the placement.
     *
     * @param account the account, to which the run is charged
     * @param size the size of the run
     * @return false if the start would bring the organisation above its quota
     */
    public static boolean mayStart(OrganisationAccount account, Capacity size) {
        return size.timesIn(account.quota().minus(account.used()).plus(size)) > 0;
    }

    private static boolean fits(Step step, Capacity quota) {
        return atOnce(step).timesIn(quota) > 0;
    }

    private static Capacity atOnce(Step step) {
        return Capacity.of(step.getSize()).times(step.getGang() ? step.getCount() : 1);
    }
}
