/**
 * Cells of real daemon processes on this machine, used by the demonstration, the scenarios and the experiments.
 */
package org.wasabimount.bench.cell;
