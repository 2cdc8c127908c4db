/**
 * Measures routing through real daemons under load and faults.
 */
package org.wasabimount.bench.routing;
