/**
 * Measures the replicated log of real daemons.
 */
package org.wasabimount.bench.log;
