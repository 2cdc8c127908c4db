/**
 * Placement: which waiting task is started on which worker, and in which order.
 *
 * <p>{@link org.wasabimount.core.placement.Scheduler} plans rounds from the cell's state. A plan is submitted as
 * commands, which the state validates again when it applies them.
 */
package org.wasabimount.core.placement;
