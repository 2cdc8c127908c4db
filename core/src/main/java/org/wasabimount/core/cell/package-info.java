/**
 * The cell's state: organisations, declared resources, their tasks, workers and configuration.
 *
 * <p>{@link org.wasabimount.core.cell.CellState} is the state machine of the cell log. It checks every command again
 * when it applies it, so that no decision made on older state can break a promise.
 */
package org.wasabimount.core.cell;
