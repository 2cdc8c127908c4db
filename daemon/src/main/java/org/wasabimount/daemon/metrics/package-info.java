/**
 * The metrics of the processes, as documented in docs/METRICS.md.
 */
package org.wasabimount.daemon.metrics;
