package org.wasabimount.core.interference;

import org.wasabimount.core.job.RunId;

/**
 * The pace of one run over a time in which the kinds beside it did not change.
 *
 * @param run the run
 * @param worker the worker
 * @param neighbours the set of kinds beside it, by their numbers
 * @param logPace the logarithm of the pace
 */
record PaceWindow(RunId run, WorkerPaces worker, long neighbours, double logPace) {}
