/**
 * Measures the throughput, failover and restart time of the replicated log with real daemons.
 */
package org.wasabimount.bench.log;
