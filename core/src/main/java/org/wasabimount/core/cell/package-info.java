/**
 * The cell's state: organisations, declared resources, their tasks, workers and configuration.
 *
 * <p>{@link org.wasabimount.core.cell.CellState} is the state machine of the cell log. It checks every command again
 * when it applies it, so that a decision based on older state cannot violate an invariant such as capacity or quota.
 */
package org.wasabimount.core.cell;
