/**
 * Measures the resource consumption of daemons as a function of load and state size.
 */
package org.wasabimount.bench.overhead;
