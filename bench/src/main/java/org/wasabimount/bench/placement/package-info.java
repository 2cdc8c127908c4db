/**
 * Measures placement by running the scheduler on a simulated cell in virtual time, without I/O.
 */
package org.wasabimount.bench.placement;
