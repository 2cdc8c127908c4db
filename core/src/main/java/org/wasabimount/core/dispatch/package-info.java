/**
 * Scheduling of accepted jobs by the leader: ordering, advice, placement, orders to workers and worker leases.
 *
 * <p>{@link org.wasabimount.core.dispatch.Dispatcher} receives events with their time and returns actions; it reads no
 * clock and opens no socket. Each leader creates a new instance from the {@link org.wasabimount.core.job.JobTable} and
 * from the run lists that the workers send.
 *
 * <p>The main classes and the loads that they are designed for:
 *
 * <ul>
 *   <li>{@link org.wasabimount.core.dispatch.Admission}: more work arrives than the workers can complete within the
 *       objectives. {@link org.wasabimount.core.share.SharedAdmission} decides for organisations that share the workers.
 *   <li>{@link org.wasabimount.core.dispatch.SchedulingOrder}: small urgent jobs compete with long jobs that have
 *       slack.
 *   <li>{@link org.wasabimount.core.dispatch.AdviceManager}: every step requires a slow call before it may be placed.
 *   <li>{@link org.wasabimount.core.dispatch.Placer}: tasks differ in size, and gangs need capacity on several workers
 *       at the same moment.
 *   <li>{@link org.wasabimount.core.dispatch.Interference}: tasks of unlike kinds slow each other on shared workers.
 * </ul>
 */
package org.wasabimount.core.dispatch;
