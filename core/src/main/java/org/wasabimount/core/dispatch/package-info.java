/**
 * What the leader decides about accepted jobs: order, advice, placement, orders to workers and their leases.
 *
 * <p>{@link org.wasabimount.core.dispatch.Dispatcher} takes events with their time and returns actions; it reads no
 * clock and opens no socket. It is made anew by each leader from the {@link org.wasabimount.core.job.JobTable} and from
 * what the workers list.
 *
 * <p>The loads that the parts answer:
 *
 * <ul>
 *   <li>{@link org.wasabimount.core.dispatch.Admission}: more work arrives than the workers can do in time.
 *   <li>{@link org.wasabimount.core.dispatch.SchedulingOrder}: small urgent jobs arrive beside long ones that have slack.
 *   <li>{@link org.wasabimount.core.dispatch.AdviceManager}: every step needs a slow call before it may be placed.
 *   <li>{@link org.wasabimount.core.dispatch.Placer}: tasks of many sizes, and gangs that need room on several workers
 *       at the same moment.
 * </ul>
 */
package org.wasabimount.core.dispatch;
