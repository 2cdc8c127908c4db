/**
 * Cells of real daemon processes on this machine, for demonstrations, scenarios and measurements.
 */
package org.wasabimount.bench.cell;
