/**
 * Placement: which waiting task starts on which worker, and in which order.
 *
 * <p>{@link org.wasabimount.core.placement.Scheduler} plans rounds over the cell's state; the plan becomes commands
 * that the state checks again.
 */
package org.wasabimount.core.placement;
