/**
 * The replicated log: elections, replication, snapshots and membership changes as a deterministic state machine.
 *
 * <p>{@link org.wasabimount.core.log.Replica} does no I/O; its host provides the disk, the network and the clock.
 */
package org.wasabimount.core.log;
