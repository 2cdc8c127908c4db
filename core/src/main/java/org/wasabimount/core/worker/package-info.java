/**
 * The worker's side of its lease and of task orders, as a deterministic state machine.
 *
 * <p>Production workers are part of the platform. This is the reference implementation for their authors; the simulated
 * workers of the benchmarks run it too.
 */
package org.wasabimount.core.worker;
