/**
 * The replicated log: elections, replication, snapshots and membership as a pure state machine.
 *
 * <p>{@link org.wasabimount.core.log.Replica} decides; its host owns the disk, the network and the clock.
 */
package org.wasabimount.core.log;
