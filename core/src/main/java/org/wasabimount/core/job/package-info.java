/**
 * Jobs of several steps, the workers that run their tasks, and the queues that jobs are submitted to.
 *
 * <p>{@link org.wasabimount.core.job.JobTable} is the replicated state. It holds only what must survive a change of
 * leader: which jobs were accepted, which worker each run was placed on, and which run ends were recorded. State that a
 * new leader can rebuild from the workers' responses is kept in {@code org.wasabimount.core.dispatch}.
 */
package org.wasabimount.core.job;
