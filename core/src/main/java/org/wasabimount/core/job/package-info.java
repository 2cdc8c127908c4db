/**
 * Jobs of several steps, the workers that run their tasks, and the queues that jobs come in by.
 *
 * <p>{@link org.wasabimount.core.job.JobTable} is the replicated state. It holds only what must survive a leader: which
 * jobs were accepted, which run of a task is where, and which ends were taken note of. What a leader can learn again
 * from the workers is kept in {@code org.wasabimount.core.dispatch}.
 */
package org.wasabimount.core.job;
