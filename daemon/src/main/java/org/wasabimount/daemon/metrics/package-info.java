/**
 * What a daemon counts and measures, as documented in docs/METRICS.md.
 */
package org.wasabimount.daemon.metrics;
